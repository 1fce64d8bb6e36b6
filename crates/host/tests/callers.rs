//! Callers that send badly or slowly, and what a person asks of the program.

mod env;

use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::process;
use std::time;

/// Sends `body` under a head that announces `length` bytes; the status and body of what comes back.
fn raw(site: &env::Site, key: &str, length: usize, body: &[u8]) -> (u16, serde_json::Value) {
    let mut socket = net::TcpStream::connect(site.host_configs[0].listen).expect("connect");
    socket
        .set_read_timeout(Some(time::Duration::from_secs(40)))
        .expect("timeout");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n\
         Connection: close\r\nContent-Length: {length}\r\n\r\n"
    );
    socket.write_all(head.as_bytes()).expect("send");
    socket.write_all(body).expect("send");
    let mut answer = Vec::new();
    let _ = socket.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let status = answer
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or_default();
    let body = answer.split("\r\n\r\n").nth(1).unwrap_or_default();
    (status, serde_json::from_str(body).unwrap_or_default())
}

#[test]
fn a_body_that_is_not_utf_8_is_refused() {
    let (site, key) = env::Site::ready(&["lalitpur"], 1);
    let body = b"{\"model\": \"drafter-7b\", \"messages\": [{\"role\": \"user\", \"content\": \"\xff\xfe\"}]}";
    let (status, answer) = raw(&site, &key, body.len(), body);
    assert_eq!(
        (status, answer["error"]["reason"].as_str()),
        (400, Some("bad_request"))
    );
    assert_eq!(answer["error"]["run"], "not_run");
}

/// A body that stops arriving ends in a refusal, and other callers are served meanwhile.
#[test]
fn a_body_that_stops_arriving_is_refused_in_the_end() {
    let (site, key) = env::Site::ready(&["lalitpur"], 1);
    std::thread::scope(|scope| {
        let slow = scope.spawn(|| raw(&site, &key, 5_000, b"{"));
        let url = site.url(0, "/v1/chat/completions");
        for n in 0..5 {
            let answer = env::chat(&url, &key, &format!("meanwhile {n}"), 5).expect("answer");
            assert!(answer.is_complete(), "{answer:?}");
        }
        let (status, answer) = slow.join().expect("slow caller");
        assert_eq!(
            (status, answer["error"]["reason"].as_str()),
            (408, Some("slow_caller"))
        );
        assert_eq!(answer["error"]["run"], "not_run");
    });
}

#[test]
fn times_to_the_first_token_and_between_tokens_are_measured() {
    let (site, key) = env::Site::ready(&["lalitpur"], 1);
    let url = site.url(0, "/v1/chat/completions");
    assert!(
        env::chat(&url, &key, "measured", 5)
            .expect("answer")
            .is_complete()
    );
    let text = env::call("GET", &site.url(0, "/metrics"), &[], "")
        .expect("metrics")
        .body;
    for name in ["first_token", "token_gap"] {
        let count = text
            .lines()
            .find(|l| l.starts_with(name) && l.contains("_count") && l.contains("chat"));
        assert!(
            count.is_some_and(|l| l.ends_with(" 1")),
            "{name}: {count:?}\n{text}"
        );
    }
    let whole = text
        .lines()
        .find(|l| l.starts_with("answers_total") && l.contains("end=\"whole\""));
    assert!(whole.is_some_and(|l| l.ends_with(" 1")), "{whole:?}");
}

#[test]
fn help_shows_examples_and_a_wrong_flag_is_told() {
    let run = |args: &[&str]| {
        let bin = env!("CARGO_BIN_EXE_jacinthslip");
        let out = process::Command::new(bin)
            .args(args)
            .output()
            .expect("program");
        let text = [out.stdout, out.stderr].concat();
        (
            out.status.code(),
            String::from_utf8_lossy(&text).into_owned(),
        )
    };
    let (code, help) = run(&["--help"]);
    assert_eq!(code, Some(0));
    assert!(
        help.contains("EXAMPLES") && help.contains("jacinthslip serve --settings"),
        "{help}"
    );
    let (code, wrong) = run(&["serve", "--nothing"]);
    assert_eq!(code, Some(2));
    assert!(wrong.contains("--nothing"), "{wrong}");
}

/// One line of key=value pairs for each event, with the request's id.
#[test]
fn the_log_is_one_line_of_pairs_for_each_event() {
    let (site, key) = env::Site::ready(&["lalitpur"], 1);
    let url = site.url(0, "/v1/chat/completions");
    assert!(
        env::chat(&url, &key, "logged", 5)
            .expect("answer")
            .is_complete()
    );
    env::wait_until("the log", || site.log(0).contains("event=answered"));
    let log = site.log(0);
    for line in log.lines() {
        assert!(
            line.starts_with("ts=") && line.contains(" event="),
            "{line}"
        );
    }
    let answered = log
        .lines()
        .find(|l| l.contains("event=answered"))
        .expect("line");
    assert!(
        answered.contains("request=") && answered.contains("class=chat"),
        "{answered}"
    );
}
