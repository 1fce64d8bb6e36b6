//! How the body of a streamed response ends.

use http_body_util::BodyExt as _;
use router::response;
use tokio::sync::mpsc;
use tokio::task;

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().build();
    task::LocalSet::new().block_on(&runtime.expect("a runtime"), future)
}

/// Guards against a stream that looks complete because the task that sends it ended early, as at a
/// timeout while the client does not read, by a panic or when it was cancelled.
#[test]
fn body_whose_sender_ends_without_saying_so_is_aborted() {
    block_on(async {
        for panics in [false, true] {
            let (sender, pieces) = mpsc::channel(4);
            task::spawn_local(async move {
                let data = response::Piece::Data("piece".into());
                sender.send(data).await.expect("a receiver");
                assert!(!panics, "as a fault in the task would");
            });
            let body = response::Body::Stream(pieces);
            body.collect().await.expect_err("an incomplete body");
        }
    });
}

#[test]
fn body_is_complete_when_its_sender_says_so() {
    block_on(async {
        let (sender, pieces) = mpsc::channel(4);
        for piece in [
            response::Piece::Data("piece".into()),
            response::Piece::End,
            response::Piece::Data("more".into()),
        ] {
            sender.send(piece).await.expect("a receiver");
        }
        let body = response::Body::Stream(pieces);
        let bytes = body.collect().await.expect("a complete body").to_bytes();
        assert_eq!(bytes, "piece");
    });
}
