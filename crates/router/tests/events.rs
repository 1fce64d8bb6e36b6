//! Streams cut into events.

use proptest::prelude::*;
use router::sse;

fn all(cutter: &mut sse::Parser) -> Vec<(Option<u64>, Vec<u8>)> {
    let mut out = Vec::new();
    while let Ok(Some(event)) = cutter.next_event() {
        out.push((event.id, event.bytes.to_vec()));
    }
    out
}

#[test]
fn an_event_is_taken_whole_with_its_id() {
    let mut cutter = sse::Parser::default();
    cutter.push(b"id: 4\ndata: a\n\nid: 5\nda");
    assert_eq!(
        all(&mut cutter),
        [(Some(4), b"id: 4\ndata: a\n\n".to_vec())]
    );
    assert!(cutter.is_partial());
    cutter.push(b"ta: b\n\n");
    assert_eq!(
        all(&mut cutter),
        [(Some(5), b"id: 5\ndata: b\n\n".to_vec())]
    );
    assert!(!cutter.is_partial());
}

#[test]
fn an_id_that_is_no_number_is_garbage() {
    let mut cutter = sse::Parser::default();
    cutter.push(b"id: x\ndata: a\n\n");
    assert!(cutter.next_event().is_err());
}

#[test]
fn an_event_without_end_is_refused() {
    let mut cutter = sse::Parser::default();
    cutter.push(&vec![b'a'; 2 << 20]);
    assert!(cutter.next_event().is_err());
}

proptest! {
    #[test]
    fn cuts_do_not_depend_on_how_bytes_come(sizes in prop::collection::vec(1usize..9, 1..80)) {
        let mut bytes = Vec::new();
        for id in 0..20 {
            bytes.extend_from_slice(format!("id: {id}\ndata: {}\n\n", "x".repeat(id)).as_bytes());
        }
        let mut cutter = sse::Parser::default();
        let mut got = Vec::new();
        let mut rest = &bytes[..];
        for size in sizes.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (part, left) = rest.split_at((*size).min(rest.len()));
            cutter.push(part);
            got.extend(all(&mut cutter));
            rest = left;
        }
        let ids: Vec<_> = got.iter().filter_map(|(id, _)| *id).collect();
        prop_assert_eq!(ids, (0..20).collect::<Vec<u64>>());
        prop_assert_eq!(got.into_iter().flat_map(|(_, b)| b).collect::<Vec<u8>>(), bytes);
    }
}
