//! Relays a stream's events to the client.

use super::super::response::{BodyDelivery, forwarded_head};
use super::{ClientProgress, Exchange, StreamEnd, StreamStart, with_timeout};
use crate::http1::{LAST_CHUNK, chunk};
use futures_lite::AsyncWriteExt;
use std::time::Duration;
use topazmount_gateway::Choice;

/// Time without data after which another replica is asked to resume a stream.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_200);

impl Exchange<'_> {
    /// Relays events as they arrive, until the stream ends or stalls.
    pub(super) async fn relay(
        &mut self,
        stream: StreamStart,
        choice: &Choice,
        may_resume: bool,
        progress: &mut ClientProgress,
    ) -> StreamEnd {
        let StreamStart {
            head,
            mut connection,
            mut reader,
            mut splitter,
            first_event,
            ends_at_close,
        } = stream;
        let delivery = self.delivery();
        let mut out = Vec::new();
        if !progress.has_started {
            out = forwarded_head(&head, delivery, self.keeps_alive);
        }
        if let Some(event) = first_event {
            self.push_event(&mut out, event, progress, delivery);
        }
        loop {
            while let Some(event) = splitter.next() {
                self.record_event_version(choice, &event);
                self.push_event(&mut out, event, progress, delivery);
            }
            if splitter.is_oversized() {
                return StreamEnd::ReplicaFailed;
            }
            if !out.is_empty() {
                progress.has_started = true;
                self.record_origin(choice, progress).await;
                match with_timeout(self.remaining_time(), self.client.write_all(&out)).await {
                    Some(Ok(())) => out.clear(),
                    Some(Err(_)) => return StreamEnd::ClientDisconnected,
                    None => return StreamEnd::DeadlineExceeded,
                }
            }
            let limit = self.remaining_time().min(STALL_TIMEOUT);
            match with_timeout(limit, reader.next(&mut connection.wire)).await {
                Some(Ok(Some(bytes))) => {
                    self.shared.on_replica_data(connection.path);
                    splitter.push(&bytes);
                }
                Some(Ok(None)) if splitter.has_partial_event() => return StreamEnd::ReplicaFailed,
                Some(Ok(None)) if ends_at_close => {
                    let last_data_at = progress.timing.last_at.unwrap_or(self.received_at);
                    if self.ended_with_replica(choice, last_data_at).await {
                        return StreamEnd::ReplicaFailed;
                    }
                    break;
                }
                Some(Ok(None)) => break,
                Some(Err(_)) => return StreamEnd::ReplicaFailed,
                None if self.remaining_time().is_zero() => return StreamEnd::DeadlineExceeded,
                // A stalled stream is only left if it can be resumed; that needs event identifiers.
                None if may_resume && progress.last_event_id.is_some() => {
                    let first_event = None;
                    let stalled = StreamStart {
                        head,
                        connection,
                        reader,
                        splitter,
                        first_event,
                        ends_at_close,
                    };
                    return StreamEnd::Stalled(Box::new(stalled));
                }
                None => {}
            }
        }
        self.return_to_pool(choice, connection);
        let remainder = splitter.take_remainder();
        push_body(&mut out, &remainder, delivery);
        if delivery == BodyDelivery::Chunked {
            out.extend_from_slice(LAST_CHUNK);
        }
        match with_timeout(self.remaining_time(), self.client.write_all(&out)).await {
            Some(Ok(())) => StreamEnd::Complete,
            _ => StreamEnd::ClientDisconnected,
        }
    }

    /// Records a change of weights that an event reports.
    fn record_event_version(&self, choice: &Choice, event: &[u8]) {
        let version = self.shared.dialect.event_weights_version(event);
        if let (Some(model), Some(version)) = (&self.metadata.model, version) {
            let mut gateway_state = self.shared.gateway_state.lock().unwrap();
            gateway_state.balancer().record_version(choice, model, version);
        }
    }

    /// Adds an event to the output, unless the client already has it.
    fn push_event(
        &self,
        out: &mut Vec<u8>,
        event: Vec<u8>,
        progress: &mut ClientProgress,
        delivery: BodyDelivery,
    ) {
        let id = self.shared.dialect.event_id(&event);
        if is_at_or_before(id.as_deref(), progress.last_event_id.as_deref()) {
            return;
        }
        if id.is_some() {
            progress.last_event_id = id;
        }
        progress.timing.record_event(self.shared.clock.now());
        push_body(out, &event, delivery);
    }

    fn delivery(&self) -> BodyDelivery {
        if self.head.minor_version == 0 { BodyDelivery::UntilClose } else { BodyDelivery::Chunked }
    }
}

fn push_body(out: &mut Vec<u8>, bytes: &[u8], delivery: BodyDelivery) {
    if bytes.is_empty() {
        return;
    }
    match delivery {
        BodyDelivery::Chunked => out.extend_from_slice(&chunk(bytes)),
        _ => out.extend_from_slice(bytes),
    }
}

/// Whether an event was already sent to the client. Only numeric identifiers can be compared.
fn is_at_or_before(id: Option<&str>, last: Option<&str>) -> bool {
    let number = |text: Option<&str>| text.and_then(|text| text.trim().parse::<u64>().ok());
    match (number(id), number(last)) {
        (Some(id), Some(last)) => id <= last,
        _ => false,
    }
}
