//! Serves chat completions: admission, streaming from an upstream, and continuation on another
//! upstream when an attempt fails.

use std::io;
use std::sync;

use base::{clock, name, refusal};
use config::document;
use peer::message;
use policy::{request, usage};
use router::memory;
use serde_json::json;

use crate::{
    chat_request, chunk, client, context, http_request, metrics, permit, response, retry, upstream,
};

/// Number of tokens between two checks that the client's key is still valid.
const KEY_CHECK_TOKENS: u32 = 32;

/// How the response reaches the client: as a stream of events, or buffered as one JSON response.
enum Sink {
    /// A streamed response of which no byte has been sent.
    NotStarted(response::Responder),
    /// A streamed response whose headers have been sent.
    Streaming(response::EventStream),
    /// A response that is sent when the completion has ended.
    Buffered(response::Responder),
}

/// Result of one attempt to run the request on an upstream.
enum Attempt {
    /// The completion has ended with a finish reason.
    Completed,
    /// The client closed the connection.
    ClientGone,
    /// The client's key was withdrawn or blocked during the response.
    KeyInvalid,
    /// The attempt failed or was stopped; another upstream may continue the completion.
    Retry(metrics::RetryReason, upstream::Error),
}

/// Number of tokens of an attempt after which its token rate is checked.
const MIN_RATE_SAMPLE_TOKENS: u32 = 16;
/// A completion moves to another upstream if its mean gap between tokens exceeds this multiple of
/// the gap target of its class.
const MAX_GAP_FACTOR: u64 = 4;
/// Maximum number of failed attempts; one more ends the request. Preemption does not count as a
/// failure.
const MAX_FAILED_ATTEMPTS: u32 = 6;

/// State of one chat completion from its admission to the end of its response.
struct Completion<'a> {
    context: &'a context::Context,
    request: chat_request::ChatRequest,
    client: client::Client,
    service: sync::Arc<document::Service>,
    id: String,
    sink: Option<Sink>,
    /// Text of the completion so far, from all attempts.
    text: String,
    /// Memory of the text.
    text_hold: memory::Hold,
    /// Completion tokens so far, from all attempts.
    tokens: u32,
    prompt_tokens: u64,
    finish_reason: Option<String>,
    /// Whether the completion has content other than text, such as tool calls, so that another
    /// upstream can't continue it.
    has_extra_delta: bool,
    failed_attempts: u32,
    /// Whether an upstream may have run the request at least in part.
    may_have_run: bool,
    /// Whether the completion has moved to another upstream because of a low token rate; it moves
    /// at most once.
    moved: bool,
    /// Time of the first token of the current attempt, from which the token rate is measured.
    rate_start: clock::Millis,
    arrived_at: clock::Millis,
    first_token_at: Option<clock::Millis>,
    /// Time of the last token, or of the arrival of the request before the first one.
    last_token_at: clock::Millis,
}

/// Serves a `POST /v1/chat/completions` request and sends its response.
pub fn serve(context: &context::Context, mut http: http_request::Request) {
    let arrived_at = context.clock.now();
    let credentials = client::Credentials::read(&http);
    let id = context.request_id();
    let body_result = http.take_body(context.settings.limits.body_bytes);
    let responder = response::Responder::new(http, id.clone());
    let admitted = body_result.and_then(|bytes| admit(context, &credentials, &bytes));
    let (request, service, client) = match admitted {
        Ok(admitted) => admitted,
        Err(refusal) => return responder.refuse(&refusal, &context.metrics),
    };
    let sink = if request.stream {
        Sink::NotStarted(responder)
    } else {
        Sink::Buffered(responder)
    };
    let completion = Completion {
        context,
        request,
        client,
        service,
        id,
        sink: Some(sink),
        text: String::new(),
        text_hold: context.memory.open(),
        tokens: 0,
        prompt_tokens: 0,
        finish_reason: None,
        has_extra_delta: false,
        failed_attempts: 0,
        may_have_run: false,
        moved: false,
        rate_start: arrived_at,
        arrived_at,
        first_token_at: None,
        last_token_at: arrived_at,
    };
    completion.run();
}

/// Parsed request, its service and its authorized client.
type Admitted = (
    chat_request::ChatRequest,
    sync::Arc<document::Service>,
    client::Client,
);

fn admit(
    context: &context::Context,
    credentials: &client::Credentials,
    bytes: &[u8],
) -> Result<Admitted, refusal::Refusal> {
    if !context.is_ready() {
        return Err(refusal::Refusal::not_run(refusal::Reason::NotReady));
    }
    let request = chat_request::ChatRequest::parse(bytes)?;
    let service = context.view().service_by_model(&request.model);
    let unknown_model = || refusal::Refusal::not_run(refusal::Reason::UnknownModel);
    let service = service.ok_or_else(unknown_model)?;
    let client = client::authorize(context, credentials, &service)?;
    if client::contains_key(credentials, bytes) {
        return Err(chat_request::bad_request());
    }
    Ok((request, service, client))
}

impl Completion<'_> {
    fn run(mut self) {
        let mut excluded: Vec<name::Upstream> = Vec::new();
        loop {
            let permit = match self.context.admission.acquire(self.slot_request(&excluded)) {
                Ok(permit) => permit,
                Err(refusal) => return self.fail(&refusal),
            };
            let upstream = self
                .service
                .upstreams
                .iter()
                .find(|u| u.name == permit.upstream);
            let Some(upstream) = upstream.cloned() else {
                excluded.push(permit.upstream.clone());
                continue;
            };
            let tokens_before = self.tokens;
            let attempt = self.attempt(&permit, &upstream);
            let ttft = self.time_to_first_token(permit.granted_at());
            let new_tokens = self.tokens - tokens_before;
            match attempt {
                Attempt::Completed => {
                    permit.finish(request::Outcome::Completed, new_tokens, ttft);
                    self.context.upstreams.retry_budget().deposit();
                    return self.complete();
                }
                Attempt::ClientGone => {
                    permit.finish(request::Outcome::Stopped, new_tokens, ttft);
                    return self.record_end("caller_gone");
                }
                Attempt::KeyInvalid => {
                    permit.finish(request::Outcome::Stopped, new_tokens, ttft);
                    self.record_end("key_withdrawn");
                    return self.abort(refusal::Reason::BadKey);
                }
                Attempt::Retry(reason, error) => {
                    permit.finish(outcome(reason), new_tokens, ttft);
                    if !self.record_failure(reason, error, &mut excluded, &upstream.name) {
                        return;
                    }
                }
            }
        }
    }

    fn slot_request(&self, excluded: &[name::Upstream]) -> message::SlotRequest {
        message::SlotRequest {
            service: self.service.name.clone(),
            class: self.client.class.name.clone(),
            ticket: self.context.admission.new_ticket(),
            team: self.client.team_name().into(),
            waited: self.context.clock.now().since(self.last_token_at),
            prompt_tokens: self.request.prompt_tokens,
            max_tokens: self.request.max_tokens.saturating_sub(self.tokens),
            prefix_hash: self.request.prefix_hash,
            resumable: self.service.idempotent && !self.has_extra_delta,
            received_tokens: self.tokens,
            excluded: excluded.to_vec(),
        }
    }

    /// Records a failed or stopped attempt. Returns whether another attempt may follow; otherwise
    /// the response has been ended with a refusal.
    fn record_failure(
        &mut self,
        reason: metrics::RetryReason,
        error: upstream::Error,
        excluded: &mut Vec<name::Upstream>,
        failed: &name::Upstream,
    ) -> bool {
        let attempt = retry::FailedAttempt {
            reason,
            retryable: self.service.idempotent && !self.has_extra_delta,
        };
        tracing::info!(event = "attempt_ended", request = %self.id, upstream = %failed, reason = reason.as_str());
        self.may_have_run |= retry::may_have_run(error);
        if let upstream::Error::Rejected(_) = error {
            self.fail(&chat_request::bad_request());
            return false;
        }
        self.failed_attempts += u32::from(reason != metrics::RetryReason::Preempted);
        if self.failed_attempts > MAX_FAILED_ATTEMPTS
            || !attempt.may_retry(self.context.upstreams.retry_budget())
        {
            self.fail(&retry::refusal(error));
            return false;
        }
        self.context.metrics.count_retry(reason);
        if reason != metrics::RetryReason::Preempted {
            excluded.push(failed.clone());
            let local_upstreams = self
                .service
                .upstreams
                .iter()
                .filter(|u| &u.dc == self.context.admission.dc());
            if local_upstreams.count() <= excluded.len() {
                excluded.clear();
            }
        }
        true
    }

    /// Sends the request to `upstream` and forwards the chunks of its response to the client.
    fn attempt(&mut self, permit: &permit::Permit, upstream: &document::Upstream) -> Attempt {
        let attempt_id = self.context.request_id();
        let body = self
            .request
            .upstream_body(self.client.class.tier, &self.text, self.tokens);
        let ttft_target = self.client.class.ttft_target;
        let mut stream_events =
            match self
                .context
                .upstreams
                .open_stream(upstream, &attempt_id, &body, ttft_target)
            {
                Ok(stream_events) => stream_events,
                Err(e) => return Attempt::Retry(retry::reason(e), e),
            };
        let tokens_before = self.tokens;
        loop {
            if permit.is_preempted() {
                return Attempt::Retry(
                    metrics::RetryReason::Preempted,
                    upstream::Error::BadResponse,
                );
            }
            let chunk = match stream_events.next_event() {
                Ok(upstream::Event::Chunk(chunk)) => chunk,
                Ok(upstream::Event::Done) if self.finish_reason.is_some() => {
                    stream_events.drain();
                    return Attempt::Completed;
                }
                Ok(upstream::Event::Done) => {
                    return Attempt::Retry(
                        metrics::RetryReason::BadResponse,
                        upstream::Error::BadResponse,
                    );
                }
                // The finish reason has arrived and only `[DONE]` is missing: the completion is
                // whole.
                Err(_) if self.finish_reason.is_some() => return Attempt::Completed,
                Err(e) => return Attempt::Retry(metrics::RetryReason::BadResponse, e),
            };
            if self.record_chunk(&chunk, tokens_before).is_err() {
                return Attempt::Retry(
                    metrics::RetryReason::BadResponse,
                    upstream::Error::BadResponse,
                );
            }
            if self.forward(&chunk).is_err() {
                return Attempt::ClientGone;
            }
            if self.tokens.is_multiple_of(KEY_CHECK_TOKENS)
                && !self.client.is_key_valid(self.context)
            {
                return Attempt::KeyInvalid;
            }
            if self.is_too_slow(tokens_before) && self.try_move() {
                return Attempt::Retry(metrics::RetryReason::Slow, upstream::Error::BadResponse);
            }
        }
    }

    /// Whether the mean gap between the tokens of this attempt exceeds the gap target of the class
    /// by more than `MAX_GAP_FACTOR`. `tokens_before` is the number of tokens when the attempt
    /// began.
    fn is_too_slow(&mut self, tokens_before: u32) -> bool {
        let new_tokens = self.tokens - tokens_before;
        if new_tokens == 1 {
            self.rate_start = self.last_token_at;
        }
        let target_gap_ms = self.client.class.gap_target.0;
        let is_checked = target_gap_ms > 0
            && new_tokens > MIN_RATE_SAMPLE_TOKENS
            && self.finish_reason.is_none();
        is_checked
            && self.last_token_at.since(self.rate_start).0
                > target_gap_ms * u64::from(new_tokens - 1) * MAX_GAP_FACTOR
    }

    /// Whether a slow completion may move to another upstream, which is then recorded: only once,
    /// and only if the service is idempotent, the content is plain text and this data centre has
    /// another upstream of the service.
    fn try_move(&mut self) -> bool {
        let upstreams = self.service.upstreams.iter();
        let local_count = upstreams
            .filter(|u| &u.dc == self.context.admission.dc())
            .count();
        let may_move =
            !self.moved && !self.has_extra_delta && self.service.idempotent && local_count > 1;
        self.moved |= may_move;
        may_move
    }

    /// Adds a chunk to the text, the token counts and the token times. `tokens_before` is the
    /// number of tokens when the attempt began. Fails if there is no memory for the text.
    fn record_chunk(
        &mut self,
        chunk: &chunk::Chunk,
        tokens_before: u32,
    ) -> Result<(), memory::Exhausted> {
        self.text_hold.grow(chunk.text.len())?;
        if let Some(usage) = chunk.usage {
            self.tokens = tokens_before + usage.completion_tokens as u32;
            let continued = u64::from(tokens_before);
            self.prompt_tokens = self
                .prompt_tokens
                .max(usage.prompt_tokens.saturating_sub(continued));
        }
        if chunk.finish_reason.is_some() {
            self.finish_reason.clone_from(&chunk.finish_reason);
        }
        if chunk.text.is_empty() && chunk.extra_delta.is_none() {
            return Ok(());
        }
        let now = self.context.clock.now();
        if self.first_token_at.is_none() {
            self.first_token_at = Some(now);
        }
        self.last_token_at = now;
        self.tokens += u32::from(chunk.usage.is_none());
        self.text.push_str(&chunk.text);
        self.has_extra_delta |= chunk.extra_delta.is_some();
        Ok(())
    }

    fn time_to_first_token(&self, started: clock::Millis) -> clock::Millis {
        self.first_token_at
            .map_or(clock::Millis::ZERO, |first| first.since(started))
    }

    /// Sends the content of a chunk to a streaming client; chunks without content are skipped.
    fn forward(&mut self, chunk: &chunk::Chunk) -> io::Result<()> {
        if chunk.text.is_empty() && chunk.extra_delta.is_none() {
            return Ok(());
        }
        let stream = match self.sink.take() {
            Some(Sink::NotStarted(responder)) => responder.start_stream()?,
            Some(Sink::Streaming(stream)) => stream,
            other => {
                self.sink = other;
                return Ok(());
            }
        };
        let out = self.client_chunk(&chunk.text, chunk.extra_delta.as_ref(), None, None);
        let data = serde_json::to_vec(&out)?;
        let stream = self.sink.insert(Sink::Streaming(stream));
        match stream {
            Sink::Streaming(stream) => stream.send_event(&data),
            _ => Ok(()),
        }
    }

    fn client_chunk<'a>(
        &'a self,
        text: &'a str,
        extra_delta: Option<&'a chunk::ExtraDelta>,
        finish_reason: Option<&'a str>,
        usage: Option<chunk::Usage>,
    ) -> chunk::ClientChunk<'a> {
        chunk::ClientChunk {
            id: &self.id,
            model: &self.request.model,
            text,
            extra_delta,
            finish_reason,
            usage,
        }
    }

    fn usage(&self) -> chunk::Usage {
        chunk::Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: u64::from(self.tokens),
        }
    }

    /// Ends a complete response. Its usage is stored durably before the client receives the end.
    fn complete(mut self) {
        self.record_end("whole");
        let finish = self.finish_reason.clone();
        let finish = finish.as_deref().unwrap_or("stop");
        let sent = match self.sink.take() {
            Some(Sink::Buffered(responder)) => {
                responder.send_json(200, &self.json_response(finish))
            }
            Some(Sink::Streaming(stream)) => self.end_stream(stream, finish),
            Some(Sink::NotStarted(responder)) => responder
                .start_stream()
                .and_then(|s| self.end_stream(s, finish)),
            None => Ok(()),
        };
        if sent.is_err() {
            tracing::info!(event = "caller_gone", request = %self.id);
        }
    }

    fn end_stream(&self, mut stream: response::EventStream, finish: &str) -> io::Result<()> {
        let out = self.client_chunk("", None, Some(finish), Some(self.usage()));
        stream.send_event(&serde_json::to_vec(&out)?)?;
        stream.send_event(b"[DONE]")?;
        stream.end()
    }

    fn json_response(&self, finish: &str) -> serde_json::Value {
        let usage = self.usage();
        json!({
            "id": self.id,
            "object": "chat.completion",
            "model": self.request.model,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": self.text},
                "finish_reason": finish,
            }],
            "usage": {
                "prompt_tokens": usage.prompt_tokens,
                "completion_tokens": usage.completion_tokens,
                "total_tokens": usage.prompt_tokens + usage.completion_tokens,
            },
        })
    }

    /// Records the usage of the tokens that were produced, the token times and how the response
    /// ended. A response without tokens is not billed.
    fn record_end(&self, end: &'static str) {
        let class = self.client.class.name.as_str();
        self.context.metrics.count_response(class, end);
        if let Some(first) = self.first_token_at {
            let first_ms = first.since(self.arrived_at).0;
            self.context.metrics.record_ttft(class, first_ms as f64);
            if self.tokens > 1 {
                let duration_ms = self.last_token_at.since(first).0 as f64;
                self.context
                    .metrics
                    .record_token_gap(class, duration_ms / f64::from(self.tokens - 1));
            }
            tracing::info!(event = "answered", request = %self.id, class, end, tokens = self.tokens, first_ms);
        }
        if self.tokens == 0 {
            return;
        }
        let account = self.client.account(&self.service.name);
        let amount = usage::Amount {
            requests: 1,
            prompt_tokens: self.prompt_tokens,
            completion_tokens: u64::from(self.tokens),
        };
        self.context.record_usage(account, amount);
    }

    /// Ends a response that can't be completed: with the refusal if nothing has been sent,
    /// otherwise with an error event.
    fn fail(&mut self, refusal: &refusal::Refusal) {
        match self.sink.take() {
            Some(Sink::NotStarted(responder) | Sink::Buffered(responder)) => {
                let refusal = if self.may_have_run {
                    refusal.of_possible_run()
                } else {
                    *refusal
                };
                responder.refuse(&refusal, &self.context.metrics);
            }
            Some(Sink::Streaming(stream)) => {
                self.sink = Some(Sink::Streaming(stream));
                let class = self.client.class.name.as_str();
                self.context.metrics.count_response(class, "broken");
                self.abort(refusal.reason);
            }
            None => {}
        }
    }

    /// Ends a stream with an error event and without `[DONE]`, or sends a refusal if nothing has
    /// been sent.
    fn abort(&mut self, reason: refusal::Reason) {
        let refusal = refusal::Refusal::unknown(reason);
        match self.sink.take() {
            Some(Sink::Streaming(mut stream)) => {
                self.context.metrics.count_refusal(reason);
                tracing::warn!(event = "broken_off", request = %self.id, reason = reason.as_str());
                let body = response::refusal_json(&refusal).to_string();
                let _ = stream
                    .send_event(body.as_bytes())
                    .and_then(|()| stream.end());
            }
            Some(Sink::NotStarted(responder) | Sink::Buffered(responder)) => {
                responder.refuse(&refusal, &self.context.metrics);
            }
            None => {}
        }
    }
}

/// Maps the reason of a further attempt to the outcome that admission records for the previous one.
fn outcome(reason: metrics::RetryReason) -> request::Outcome {
    match reason {
        metrics::RetryReason::Preempted | metrics::RetryReason::Slow => request::Outcome::Stopped,
        metrics::RetryReason::Refused => request::Outcome::Refused,
        metrics::RetryReason::Connect | metrics::RetryReason::BadResponse => {
            request::Outcome::Failed
        }
    }
}
