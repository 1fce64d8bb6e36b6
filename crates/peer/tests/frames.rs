//! Frame encoding and authentication: messages survive any fragmentation, invalid bytes cause an
//! error instead of a panic, and proofs are valid only for their connection.

use base::clock;
use peer::{auth, frame, message};
use policy::{request, usage};
use proptest::prelude::*;

fn messages() -> impl Strategy<Value = message::Message> {
    let name = "[a-z0-9-]{1,20}";
    let heartbeat = (any::<u64>(), any::<bool>()).prop_map(|(revision, draining)| {
        message::Message::Heartbeat(message::Heartbeat { revision, draining })
    });
    let slot_request = (name, name, any::<u64>(), any::<u32>(), any::<bool>()).prop_map(
        |(service, team, ticket, prompt, resumable)| {
            message::Message::SlotRequest(message::SlotRequest {
                service: service.as_str().into(),
                class: "chat".into(),
                ticket: request::Ticket(ticket),
                team: team.as_str().into(),
                waited: clock::Millis(u64::from(prompt)),
                prompt_tokens: prompt,
                max_tokens: prompt,
                prefix_hash: ticket,
                resumable,
                received_tokens: 0,
                excluded: vec![team.as_str().into()],
            })
        },
    );
    let usage_copied = any::<u64>().prop_map(message::Message::UsageCopied);
    let usage_stored = (any::<u64>(), proptest::collection::vec(0u64..1_000, 0..50)).prop_map(
        |(incarnation, all)| {
            let mut numbers = usage::NumberSet::default();
            all.into_iter().for_each(|n| numbers.insert(n));
            message::Message::UsageStored(incarnation, numbers)
        },
    );
    prop_oneof![heartbeat, slot_request, usage_copied, usage_stored]
}

proptest! {
    #[test]
    fn messages_survive_any_fragmentation_of_the_stream(
        sent in proptest::collection::vec(messages(), 1..20),
        sizes in proptest::collection::vec(1usize..40, 1..50),
    ) {
        let mut bytes = Vec::new();
        for m in &sent {
            prop_assert!(frame::write(m, &mut bytes).is_ok());
        }
        let mut reader = frame::Reader::default();
        let mut received: Vec<message::Message> = Vec::new();
        let mut rest = &bytes[..];
        let mut sizes = sizes.iter().cycle();
        while !rest.is_empty() {
            let (chunk, remaining) = rest.split_at(rest.len().min(*sizes.next().unwrap_or(&1)));
            reader.push(chunk);
            rest = remaining;
            while let Ok(Some(m)) = reader.read() {
                received.push(m);
            }
        }
        prop_assert_eq!(received, sent);
    }

    #[test]
    fn invalid_bytes_never_cause_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let mut reader = frame::Reader::default();
        reader.push(&bytes);
        for _ in 0..bytes.len() {
            match reader.read::<message::Message>() {
                Ok(Some(_)) => {}
                Ok(None) | Err(frame::InvalidFrame) => break,
            }
        }
    }

    #[test]
    fn an_incomplete_frame_yields_no_message(
        m in messages(), at in any::<prop::sample::Index>(),
    ) {
        let mut bytes = Vec::new();
        prop_assert!(frame::write(&m, &mut bytes).is_ok());
        let length = at.index(bytes.len());
        let mut reader = frame::Reader::default();
        reader.push(&bytes[..length]);
        prop_assert_eq!(reader.read::<message::Message>(), Ok(None));
    }
}

fn hello(host: &str, nonce: u8) -> auth::Hello {
    auth::Hello {
        version: message::VERSION,
        host: host.into(),
        dc: "lalitpur".into(),
        nonce: [nonce; auth::NONCE_BYTES],
    }
}

#[test]
fn a_proof_is_valid_only_for_its_secret_hosts_and_connection() {
    let (a, b) = (hello("a", 1), hello("b", 2));
    // Host b authenticates to host a.
    let proof = auth::prove("secret", &b.host, &a);
    assert!(auth::verify("secret", &b, &a, &proof));
    assert!(!auth::verify("another", &b, &a, &proof));
    assert!(!auth::verify("secret", &b, &hello("a", 9), &proof));
    assert!(!auth::verify("secret", &hello("c", 2), &a, &proof));
    // A proof of host a can't be replayed to it, and no other host can claim its name.
    assert!(!auth::verify(
        "secret",
        &b,
        &a,
        &auth::prove("secret", &a.host, &b)
    ));
    assert!(!auth::verify(
        "secret",
        &a,
        &a,
        &auth::prove("secret", &a.host, &a)
    ));
}
