//! Takes a stream up at another replica when its own has fallen silent in the middle.
//!
//! Silence alone does not tell a lost replica from one that reads a long prompt or loads weights: the
//! stream is let go only once another replica has taken it.

use super::{Attempt, Exchange, InFlight, Progress, StreamBegin, StreamEnd, until};
use crate::http1::BodyError;
use std::pin::pin;
use std::time::Duration;
use topazmount_gateway::{AttemptEnd, RequestPlan};

/// Time within which a replica that can't take a stream says so; then the silent one is let go. It is
/// below the 400 ms for which two replicas may be at work on one stream.
const REFUSAL_TIME: Duration = Duration::from_millis(300);

/// Where a stream that had fallen silent goes on.
enum Resumed<'e> {
    /// At its own replica.
    Here(Box<StreamBegin>),
    /// At another one.
    There(InFlight<'e>, Box<StreamBegin>),
    /// At none: its own was let go, and the other one failed it.
    Nowhere(InFlight<'e>, AttemptEnd),
}

/// What a stream's own replica or another one said first.
enum FirstWord {
    Own(Result<Option<Vec<u8>>, BodyError>),
    Other(Attempt),
}

/// What came of asking another replica beside a silent one.
enum Beside {
    /// The silent one spoke again.
    Own(Box<StreamBegin>),
    /// The other one can't take the stream; the silent one was held on to.
    Refused(Box<StreamBegin>, AttemptEnd),
    /// The silent one was let go; this is what the other one did.
    Other(Attempt),
}

impl<'e> Exchange<'e> {
    /// Relays a stream to its end, at other replicas where its own falls silent. Returns what holds
    /// the last replica's place, and how the stream ended.
    pub(super) async fn relay_resuming(
        &mut self,
        plan: &mut RequestPlan,
        mut in_flight: InFlight<'e>,
        mut begin: Box<StreamBegin>,
        progress: &mut Progress,
    ) -> (InFlight<'e>, StreamEnd) {
        loop {
            let may_resume = self.may_switch(plan);
            let end = self.relay(*begin, &in_flight.choice, may_resume, progress).await;
            let StreamEnd::Silent(held) = end else { return (in_flight, end) };
            match self.resume(plan, held, progress).await {
                Resumed::Here(held) => begin = held,
                Resumed::There(next, stream) => {
                    self.let_go(in_flight);
                    (in_flight, begin) = (next, stream);
                }
                Resumed::Nowhere(next, end) => {
                    self.let_go(in_flight);
                    return (next, StreamEnd::NotResumed(end));
                }
            }
        }
    }

    /// A silent replica was let go.
    fn let_go(&self, in_flight: InFlight<'_>) {
        self.note_failure(&in_flight, AttemptEnd::Broken);
        self.log_attempt(&in_flight.choice, "silent_in_stream");
    }

    /// Asks another replica to go on, and holds on to the silent one until the other has taken the
    /// stream.
    async fn resume(
        &self,
        plan: &mut RequestPlan,
        held: Box<StreamBegin>,
        progress: &Progress,
    ) -> Resumed<'e> {
        let Some(in_flight) = self.choose(plan).await else { return Resumed::Here(held) };
        if !self.may_repeat() {
            return Resumed::Here(held);
        }
        plan.begin(in_flight.choice.instance.incarnation_name());
        match self.ask_beside(plan, &in_flight, held, progress).await {
            Beside::Own(held) => Resumed::Here(held),
            Beside::Refused(held, end) => {
                self.note_failure(&in_flight, end);
                self.log_attempt(&in_flight.choice, end.name());
                plan.end(end);
                Resumed::Here(held)
            }
            Beside::Other(Attempt::Stream(stream)) => Resumed::There(in_flight, stream),
            Beside::Other(Attempt::Ended(end)) => Resumed::Nowhere(in_flight, end),
            Beside::Other(Attempt::Failure(..) | Attempt::Success(..)) => {
                Resumed::Nowhere(in_flight, AttemptEnd::Failed)
            }
        }
    }

    /// Sends the request to another replica, and reads on at the silent one until the other has had
    /// time to refuse.
    async fn ask_beside(
        &self,
        plan: &RequestPlan,
        in_flight: &InFlight<'_>,
        mut held: Box<StreamBegin>,
        progress: &Progress,
    ) -> Beside {
        let mut other = pin!(self.attempt(plan, in_flight, progress));
        let word = {
            let StreamBegin { reader, carrier, .. } = held.as_mut();
            let own = async { FirstWord::Own(reader.next(&mut carrier.wire).await) };
            let other = async { FirstWord::Other(other.as_mut().await) };
            until(REFUSAL_TIME, futures_lite::future::or(other, own)).await
        };
        match word {
            Some(FirstWord::Own(Ok(bytes))) => {
                // An end is read again by who relays the stream.
                held.splitter.push(&bytes.unwrap_or_default());
                Beside::Own(held)
            }
            Some(FirstWord::Other(Attempt::Ended(end))) => Beside::Refused(held, end),
            Some(FirstWord::Other(attempt)) => Beside::Other(attempt),
            Some(FirstWord::Own(Err(_))) | None => {
                drop(held);
                Beside::Other(other.await)
            }
        }
    }
}
