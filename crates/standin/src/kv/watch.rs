//! The streaming answer of a watch.

use std::io;
use std::sync::{Mutex, PoisonError};

use serde_json::{Value, json};

use super::feed::{Span, Watching};
use super::json::{Create, Int};
use super::store::Store;
use crate::call::{Call, Stream};

/// Streams events until the client goes or the watch ends.
pub(crate) fn serve(store: &Mutex<Store>, call: Call, create: &Create, id: u64) {
    let span = Span::new(&create.key, &create.range_end);
    let (header, watching) = {
        let mut store = store.lock().unwrap_or_else(PoisonError::into_inner);
        (store.header(), store.watch(span, create.start_revision))
    };
    let client = call.client();
    let Ok(mut stream) = call.stream("application/json", &[]) else {
        return;
    };
    let created = json!({"header": header, "watch_id": id.to_string(), "created": true});
    match (send(&mut stream, &created), watching) {
        (Err(_), _) => {}
        (Ok(()), Watching::Compacted(revision)) => cancel(stream, &header, id, revision),
        (Ok(()), Watching::Started(batches)) => {
            while let Some(batch) = client.wait(&batches) {
                let mut header = header.clone();
                header["revision"] = json!(batch.revision);
                let events = batch.events;
                let result =
                    json!({"header": header, "watch_id": id.to_string(), "events": events});
                if send(&mut stream, &result).is_err() {
                    return;
                }
            }
            stream.vanish();
        }
    }
}

/// Says that the start lies below the compacted revision, and ends.
fn cancel(mut stream: Stream, header: &Value, id: u64, revision: Int) {
    let result = json!({
        "header": header,
        "watch_id": id.to_string(),
        "canceled": true,
        "compact_revision": revision,
    });
    // A client that went away does not miss its answer.
    let _ = send(&mut stream, &result).and_then(|()| stream.end());
}

fn send(stream: &mut Stream, result: &Value) -> io::Result<()> {
    stream.send(&format!("{}\n", json!({ "result": result })))
}
