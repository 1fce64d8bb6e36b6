//! Tests of the parser of server-sent events.

use proptest::prelude::*;
use router::sse;

fn take_events(parser: &mut sse::Parser) -> Vec<(Option<u64>, Vec<u8>)> {
    let mut events = Vec::new();
    while let Ok(Some(event)) = parser.next_event() {
        events.push((event.id, event.bytes.to_vec()));
    }
    events
}

#[test]
fn only_complete_events_are_returned_with_their_ids() {
    let mut parser = sse::Parser::default();
    parser.push(b"id: 4\ndata: a\n\nid: 5\nda");
    assert_eq!(
        take_events(&mut parser),
        [(Some(4), b"id: 4\ndata: a\n\n".to_vec())]
    );
    assert!(parser.is_partial());
    parser.push(b"ta: b\n\n");
    assert_eq!(
        take_events(&mut parser),
        [(Some(5), b"id: 5\ndata: b\n\n".to_vec())]
    );
    assert!(!parser.is_partial());
}

#[test]
fn an_id_that_is_not_a_number_is_an_error() {
    let mut parser = sse::Parser::default();
    parser.push(b"id: x\ndata: a\n\n");
    assert!(parser.next_event().is_err());
}

#[test]
fn an_overlong_event_is_an_error() {
    let mut parser = sse::Parser::default();
    parser.push(&vec![b'a'; 2 << 20]);
    assert!(parser.next_event().is_err());
}

proptest! {
    #[test]
    fn events_do_not_depend_on_how_the_bytes_are_split(
        sizes in prop::collection::vec(1usize..9, 1..80),
    ) {
        let mut bytes = Vec::new();
        for id in 0..20 {
            bytes.extend_from_slice(format!("id: {id}\ndata: {}\n\n", "x".repeat(id)).as_bytes());
        }
        let mut parser = sse::Parser::default();
        let mut events = Vec::new();
        let mut remaining = &bytes[..];
        for size in sizes.iter().cycle() {
            if remaining.is_empty() {
                break;
            }
            let (part, tail) = remaining.split_at((*size).min(remaining.len()));
            parser.push(part);
            events.extend(take_events(&mut parser));
            remaining = tail;
        }
        let ids: Vec<_> = events.iter().filter_map(|(id, _)| *id).collect();
        prop_assert_eq!(ids, (0..20).collect::<Vec<u64>>());
        prop_assert_eq!(events.into_iter().flat_map(|(_, b)| b).collect::<Vec<u8>>(), bytes);
    }
}
