//! Relays a stream's events as they come.

use super::super::answer::{Delivery, forwarded_head};
use super::{Exchange, Progress, StreamBegin, StreamEnd, until};
use crate::http1::{LAST_CHUNK, chunk};
use futures_lite::AsyncWriteExt;
use std::time::Duration;
use topazmount_gateway::Choice;

/// Silence in the middle of a stream after which another replica is asked to resume it.
const STREAM_SILENCE: Duration = Duration::from_millis(1_200);

impl Exchange<'_> {
    /// Passes events on as they come.
    pub(super) async fn relay(
        &mut self,
        begin: StreamBegin,
        choice: &Choice,
        may_resume: bool,
        progress: &mut Progress,
    ) -> StreamEnd {
        let StreamBegin { head, mut carrier, mut reader, mut splitter, first, is_until_close } =
            begin;
        let delivery = self.delivery();
        let mut out = Vec::new();
        if !progress.has_begun {
            out = forwarded_head(&head, delivery, self.keeps_alive);
        }
        if let Some(event) = first {
            self.push_event(&mut out, event, progress, delivery);
        }
        loop {
            while let Some(event) = splitter.next() {
                self.note_event_version(choice, &event);
                self.push_event(&mut out, event, progress, delivery);
            }
            if !out.is_empty() {
                progress.has_begun = true;
                match until(self.left(), self.client.write_all(&out)).await {
                    Some(Ok(())) => out.clear(),
                    Some(Err(_)) => return StreamEnd::ClientBroke,
                    None => return StreamEnd::TimeOver,
                }
            }
            let limit = self.left().min(STREAM_SILENCE);
            match until(limit, reader.next(&mut carrier.wire)).await {
                Some(Ok(Some(bytes))) => splitter.push(&bytes),
                Some(Ok(None)) if is_until_close && splitter.pending() > 0 => {
                    return StreamEnd::ReplicaBroke;
                }
                Some(Ok(None)) => break,
                Some(Err(_)) => return StreamEnd::ReplicaBroke,
                None if self.left().is_zero() => return StreamEnd::TimeOver,
                // Silence alone ends no stream; one without identifiers can't be resumed elsewhere.
                None if may_resume && progress.last_event.is_some() => {
                    let first = None;
                    let held =
                        StreamBegin { head, carrier, reader, splitter, first, is_until_close };
                    return StreamEnd::Silent(Box::new(held));
                }
                None => {}
            }
        }
        self.rest(choice, carrier);
        let rest = splitter.rest();
        push_body(&mut out, &rest, delivery);
        if delivery == Delivery::Chunked {
            out.extend_from_slice(LAST_CHUNK);
        }
        match until(self.left(), self.client.write_all(&out)).await {
            Some(Ok(())) => StreamEnd::Complete,
            _ => StreamEnd::ClientBroke,
        }
    }

    /// A replica that loads in the middle of a stream tells with the next event.
    fn note_event_version(&self, choice: &Choice, event: &[u8]) {
        let version = self.shared.dialect.event_weights_version(event);
        if let (Some(model), Some(version)) = (&self.tags.model, version) {
            let mut knowledge = self.shared.knowledge.lock().unwrap();
            knowledge.balancer().record_version(choice, model, version);
        }
    }

    /// Adds an event that the client does not have yet.
    fn push_event(
        &self,
        out: &mut Vec<u8>,
        event: Vec<u8>,
        progress: &mut Progress,
        delivery: Delivery,
    ) {
        let id = self.shared.dialect.event_id(&event);
        if is_at_or_before(id.as_deref(), progress.last_event.as_deref()) {
            return;
        }
        if id.is_some() {
            progress.last_event = id;
        }
        progress.pace.note_event(self.shared.clock.now());
        push_body(out, &event, delivery);
    }

    fn delivery(&self) -> Delivery {
        if self.head.minor_version == 0 { Delivery::UntilClose } else { Delivery::Chunked }
    }
}

fn push_body(out: &mut Vec<u8>, bytes: &[u8], delivery: Delivery) {
    if bytes.is_empty() {
        return;
    }
    match delivery {
        Delivery::Chunked => out.extend_from_slice(&chunk(bytes)),
        _ => out.extend_from_slice(bytes),
    }
}

/// Whether an event is one that the client has. Identifiers that are numbers rise.
fn is_at_or_before(id: Option<&str>, last: Option<&str>) -> bool {
    let number = |text: Option<&str>| text.and_then(|text| text.trim().parse::<u64>().ok());
    match (number(id), number(last)) {
        (Some(id), Some(last)) => id <= last,
        _ => false,
    }
}
