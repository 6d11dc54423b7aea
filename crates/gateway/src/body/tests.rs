use std::pin::pin;

use bitterncart_testing::cases;
use bytes::Bytes;
use http_body_util::BodyExt;

use super::{Body, Part};

cases! {
    /// Guards against a stream that looks complete because the task that relays it is
    /// gone: only its last part ends it.
    fn stream_ends_only_with_its_last_part(sent: &[Part], expected_complete: bool) {
        smol::block_on(async {
            let (sender, parts) = async_channel::bounded(sent.len() + 1);
            for part in sent {
                sender.send(part.clone()).await.expect("a receiver");
            }
            // The task ends without a word.
            drop(sender);
            let body = Body::events(parts, smol::spawn(async {}));
            let collected = pin!(body.collect()).await;
            assert_eq!(collected.is_ok(), expected_complete);
        });
    }
    stream_with_its_last_part(&[Part::Event(Bytes::from_static(b"a")), Part::End], true);
    stream_without_its_last_part(&[Part::Event(Bytes::from_static(b"a"))], false);
    stream_without_any_part(&[], false);
}
