//! Relays a stream's events to the client.

use super::super::response::forwarded_head;
use super::{ClientProgress, Exchange, StreamEnd, StreamFormat, StreamStart, with_timeout};
use crate::http1::{BodyDelivery, OutOfOrder, ResponseHead};
use std::time::Duration;
use topazmount_gateway::Choice;

/// Time without data after which another replica is asked to resume a stream.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_200);

impl Exchange<'_> {
    /// Relays events as they arrive, until the stream ends or stalls.
    pub(super) async fn relay(
        &mut self,
        mut stream: Box<StreamStart>,
        choice: &Choice,
        may_resume: bool,
        progress: &mut ClientProgress,
    ) -> StreamEnd {
        if !self.client.has_started()
            && let Err(problem) = self.start_response(&stream.head, progress)
        {
            return self.out_of_order(problem);
        }
        loop {
            if let Err(problem) = self.add_events(&mut stream, choice, progress) {
                return self.out_of_order(problem);
            }
            if stream.splitter.is_oversized() {
                return StreamEnd::ReplicaFailed;
            }
            if self.client.has_pending() {
                self.record_origin(choice, progress).await;
                match with_timeout(self.remaining_time(), self.client.flush()).await {
                    Some(Ok(())) => {}
                    Some(Err(_)) => return StreamEnd::ClientDisconnected,
                    None => return StreamEnd::DeadlineExceeded,
                }
            }
            let limit = self.remaining_time().min(STALL_TIMEOUT);
            let StreamStart { connection, reader, splitter, .. } = stream.as_mut();
            match with_timeout(limit, reader.next(&mut connection.wire)).await {
                Some(Ok(Some(bytes))) => {
                    self.shared.on_replica_data(connection.path);
                    splitter.push(&bytes);
                }
                Some(Ok(None)) => return self.end_relay(stream, choice, progress).await,
                Some(Err(_)) => return StreamEnd::ReplicaFailed,
                None if self.remaining_time().is_zero() => return StreamEnd::DeadlineExceeded,
                // A stalled stream is only left if it can be resumed; that needs event identifiers.
                None if may_resume && progress.last_event_id.is_some() => {
                    return StreamEnd::Stalled(stream);
                }
                None => {}
            }
        }
    }

    /// Ends a response that bytes were kept out of.
    fn out_of_order(&self, problem: OutOfOrder) -> StreamEnd {
        self.log_not_sent(&problem);
        StreamEnd::ClientDisconnected
    }

    /// Starts the response with the head of the first replica that sends a part of it.
    fn start_response(
        &mut self,
        head: &ResponseHead,
        progress: &mut ClientProgress,
    ) -> Result<(), OutOfOrder> {
        let delivery = self.delivery();
        progress.format = Some(StreamFormat::of(head));
        self.client.add_head(&forwarded_head(head, delivery, self.keeps_alive), delivery)
    }

    /// Adds the events that have arrived to the response, but those that the client already has.
    fn add_events(
        &mut self,
        stream: &mut StreamStart,
        choice: &Choice,
        progress: &mut ClientProgress,
    ) -> Result<(), OutOfOrder> {
        while let Some(event) = stream.first_event.take().or_else(|| stream.splitter.next()) {
            self.record_event_version(choice, &event);
            stream.has_new_events |= self.add_event(&event, progress)?;
        }
        Ok(())
    }

    /// Ends the response after the replica has ended its answer.
    async fn end_relay(
        &mut self,
        mut stream: Box<StreamStart>,
        choice: &Choice,
        progress: &ClientProgress,
    ) -> StreamEnd {
        if stream.splitter.has_partial_event() {
            return StreamEnd::ReplicaFailed;
        }
        // All events prove the end, without a connection for the check.
        if stream.ends_at_close && !self.has_all_events(progress) {
            let last_data_at = progress.timing.last_at.unwrap_or(self.received_at);
            if self.may_be_cut_off(choice, last_data_at).await {
                return StreamEnd::ReplicaFailed;
            }
        }
        let is_continued = !stream.is_continuation || stream.has_new_events;
        if !is_continued && !self.has_all_events(progress) {
            self.log_not_continued(choice, &stream.head);
            self.return_to_pool(choice, stream.connection);
            return StreamEnd::NotContinued;
        }
        let remainder = stream.splitter.take_remainder();
        self.return_to_pool(choice, stream.connection);
        if let Err(problem) = self.client.add_body(&remainder) {
            return self.out_of_order(problem);
        }
        match with_timeout(self.remaining_time(), self.client.finish()).await {
            Some(Ok(())) => StreamEnd::Complete,
            _ => StreamEnd::ClientDisconnected,
        }
    }

    /// Records a change of weights that an event reports.
    fn record_event_version(&self, choice: &Choice, event: &[u8]) {
        let version = self.shared.dialect.event_weights_version(event);
        if let (Some(model), Some(version)) = (&self.metadata.model, version) {
            let mut gateway_state = self.shared.gateway_state.lock();
            gateway_state.balancer().record_version(choice, model, version);
        }
    }

    /// Adds an event to the response, unless the client already has it. Returns whether it is new and
    /// has an identifier.
    fn add_event(
        &mut self,
        event: &[u8],
        progress: &mut ClientProgress,
    ) -> Result<bool, OutOfOrder> {
        let id = self.shared.dialect.event_id(event);
        if is_at_or_before(id.as_deref(), progress.last_event_id.as_deref()) {
            return Ok(false);
        }
        let is_identified = id.is_some();
        if is_identified {
            progress.last_event_id = id;
            progress.event_count += 1;
        }
        progress.timing.record_event(self.shared.clock.now());
        self.client.add_body(event)?;
        Ok(is_identified)
    }

    fn delivery(&self) -> BodyDelivery {
        if self.head.minor_version == 0 { BodyDelivery::UntilClose } else { BodyDelivery::Chunked }
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
