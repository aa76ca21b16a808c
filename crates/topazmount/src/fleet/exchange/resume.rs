//! Resumes a stalled stream at another replica.
//!
//! A stalled replica may be lost, or busy with a long prompt or a load of weights. It is dropped only
//! once another replica has accepted the stream.

use super::{
    AttemptResult, ClientProgress, Exchange, InFlight, StreamEnd, StreamStart, with_timeout,
};
use crate::http1::{BodyError, ResponseHead};
use std::pin::pin;
use std::time::Duration;
use topazmount_gateway::{AttemptEnd, RequestPlan};

/// Time for another replica to refuse a stream, after which the stalled one is dropped. Below the 400
/// ms for which two replicas may work on one stream.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(300);

/// Where a stalled stream continues.
enum Resumed<'e> {
    /// At the same replica.
    SameReplica(Box<StreamStart>),
    /// At another replica.
    OtherReplica(InFlight<'e>, Box<StreamStart>),
    /// Nowhere: the stalled replica was dropped and the other one failed.
    Failed(InFlight<'e>, AttemptEnd),
    /// The stalled replica was dropped and the other one answered without events.
    WithoutEvents(InFlight<'e>, ResponseHead),
}

/// First event while a stream is offered to another replica.
enum FirstResult {
    /// The stalled replica sent data or its connection ended.
    Stalled(Result<Option<Vec<u8>>, BodyError>),
    /// The attempt at the other replica has a result.
    Other(AttemptResult),
}

/// Result of offering a stream to another replica.
enum Handover {
    /// The stalled replica continued.
    StalledResumed(Box<StreamStart>),
    /// The other replica refused the stream; the stalled one was kept.
    Refused(Box<StreamStart>, AttemptEnd),
    /// The stalled replica was dropped; this is the other one's result.
    Taken(AttemptResult),
}

impl<'e> Exchange<'e> {
    /// Relays a stream to its end, resuming it at other replicas when it stalls. Returns the request in
    /// flight at the last replica and how the stream ended.
    pub(super) async fn relay_resuming(
        &mut self,
        plan: &mut RequestPlan,
        mut in_flight: InFlight<'e>,
        mut stream: Box<StreamStart>,
        progress: &mut ClientProgress,
    ) -> (InFlight<'e>, StreamEnd) {
        loop {
            let may_resume = self.may_switch(plan);
            let end = self.relay(stream, &in_flight.choice, may_resume, progress).await;
            let StreamEnd::Stalled(stalled) = end else { return (in_flight, end) };
            match self.resume(plan, stalled, progress).await {
                Resumed::SameReplica(stalled) => stream = stalled,
                Resumed::OtherReplica(next, resumed) => {
                    self.drop_stalled(in_flight);
                    (in_flight, stream) = (next, resumed);
                }
                Resumed::Failed(next, end) => {
                    self.drop_stalled(in_flight);
                    return (next, StreamEnd::ResumeFailed(end));
                }
                Resumed::WithoutEvents(next, head) => {
                    self.drop_stalled(in_flight);
                    return (next, StreamEnd::ResumedWithoutEvents(head));
                }
            }
        }
    }

    /// Records the failure of a stalled replica and drops its request.
    fn drop_stalled(&self, in_flight: InFlight<'_>) {
        self.record_failure(&in_flight, AttemptEnd::Broken);
        self.log_attempt(&in_flight.choice, "silent_in_stream");
    }

    /// Offers the stream to other replicas, one after another, until one takes it. The stalled one is kept
    /// while they refuse within [`REFUSAL_TIMEOUT`].
    async fn resume(
        &self,
        plan: &mut RequestPlan,
        mut stalled: Box<StreamStart>,
        progress: &ClientProgress,
    ) -> Resumed<'e> {
        while self.may_switch(plan) && !self.shared.is_isolated() && !self.is_blocked() {
            let Some(in_flight) = self.choose(plan).await else { break };
            if !self.take_retry() {
                break;
            }
            plan.begin(in_flight.choice.instance.incarnation_name());
            match self.hand_over(plan, &in_flight, stalled, progress).await {
                Handover::StalledResumed(stalled) => return Resumed::SameReplica(stalled),
                Handover::Refused(kept, end) => {
                    self.record_failure(&in_flight, end);
                    self.log_attempt(&in_flight.choice, end.name());
                    plan.end(end);
                    stalled = kept;
                }
                Handover::Taken(AttemptResult::Stream(stream)) => {
                    return Resumed::OtherReplica(in_flight, stream);
                }
                Handover::Taken(AttemptResult::Ended(end)) => {
                    return Resumed::Failed(in_flight, end);
                }
                Handover::Taken(AttemptResult::Success(head, _)) => {
                    return Resumed::WithoutEvents(in_flight, head);
                }
                Handover::Taken(AttemptResult::Failure(..)) => {
                    return Resumed::Failed(in_flight, AttemptEnd::Failed);
                }
            }
        }
        Resumed::SameReplica(stalled)
    }

    /// Sends the request to another replica while still reading from the stalled one, until the other
    /// has had time to refuse.
    async fn hand_over(
        &self,
        plan: &RequestPlan,
        in_flight: &InFlight<'_>,
        mut stalled: Box<StreamStart>,
        progress: &ClientProgress,
    ) -> Handover {
        let mut other = pin!(self.attempt(plan, in_flight, progress));
        let first = {
            let StreamStart { reader, connection, .. } = stalled.as_mut();
            let stalled_data =
                async { FirstResult::Stalled(reader.next(&mut connection.wire).await) };
            let other = async { FirstResult::Other(other.as_mut().await) };
            with_timeout(REFUSAL_TIMEOUT, futures_lite::future::or(other, stalled_data)).await
        };
        match first {
            Some(FirstResult::Stalled(Ok(data))) => {
                // The end of the body is read again by `relay`.
                stalled.splitter.push(&data.unwrap_or_default());
                Handover::StalledResumed(stalled)
            }
            Some(FirstResult::Other(AttemptResult::Ended(end))) => Handover::Refused(stalled, end),
            Some(FirstResult::Other(AttemptResult::Success(head, _)))
                if !self.completes_stream(&head, progress) =>
            {
                self.log_not_continued(&in_flight.choice, &head);
                Handover::Refused(stalled, AttemptEnd::NotContinued)
            }
            Some(FirstResult::Other(attempt)) => Handover::Taken(attempt),
            Some(FirstResult::Stalled(Err(_))) | None => {
                drop(stalled);
                Handover::Taken(other.await)
            }
        }
    }
}
