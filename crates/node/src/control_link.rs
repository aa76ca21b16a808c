//! Requests to the control group: which member to ask, and when to ask another.

use crate::io::ControlFailure;
use rand::Rng;
use std::collections::BTreeMap;
use std::time::Duration;
use topazmount_control::{Request, RequestNumber, Response};
use topazmount_types::{RequestId, Time};

/// Silence of a member after which another is asked.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);
/// Shortest and longest pause before a request is sent again, in microseconds.
const RETRY_PAUSE: std::ops::Range<u64> = 10_000..60_000;
/// The same for a fetch, which nobody waits for: many nodes must not crowd a group that has no
/// leader.
const FETCH_PAUSE: std::ops::Range<u64> = 200_000..800_000;

/// What a request to the control group is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// A step of an at-most-once call.
    Action(RequestId),
    /// A caller's lookup.
    Lookup(RequestId),
    /// The regular fetch of the configuration.
    Fetch,
    /// Giving a claim back after its caller was answered.
    Release,
}

struct Asked {
    purpose: Purpose,
    request: Request,
    /// When to ask again.
    again_at: Time,
    /// Whether a member was asked and has not answered.
    is_awaited: bool,
    /// After this nobody waits for it.
    until: Time,
}

/// Requests under way.
pub(crate) struct ControlLink {
    members: usize,
    leader: usize,
    next_number: RequestNumber,
    asked: BTreeMap<RequestNumber, Asked>,
}

/// What became of a response.
pub(crate) enum Handled {
    /// It answers this.
    Answer(Purpose, Response),
    /// It was asked again, is no longer waited for, or will be asked again later.
    Nothing,
}

/// A request to send now.
pub(crate) struct Ask {
    pub number: RequestNumber,
    pub member: usize,
    pub request: Request,
}

impl ControlLink {
    pub(crate) fn new(members: usize, first: usize) -> Self {
        ControlLink {
            members: members.max(1),
            leader: first % members.max(1),
            next_number: 1,
            asked: BTreeMap::new(),
        }
    }

    /// Asks the member believed to lead, and goes on asking until `until`.
    pub(crate) fn ask(
        &mut self,
        now: Time,
        until: Time,
        purpose: Purpose,
        request: Request,
    ) -> Ask {
        let number = self.next_number;
        self.next_number += 1;
        let again_at = now + ASK_TIMEOUT;
        let asked = Asked { purpose, request: request.clone(), again_at, is_awaited: true, until };
        self.asked.insert(number, asked);
        Ask { number, member: self.leader, request }
    }

    /// Whether something of this purpose is under way.
    pub(crate) fn is_asking(&self, purpose: Purpose) -> bool {
        self.asked.values().any(|asked| asked.purpose == purpose)
    }

    /// Stops asking.
    pub(crate) fn stop(&mut self, purpose: Purpose) {
        self.asked.retain(|_, asked| asked.purpose != purpose);
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.asked.values().all(|asked| asked.purpose == Purpose::Fetch)
    }

    pub(crate) fn next_wakeup(&self) -> Time {
        let next = |asked: &Asked| asked.again_at.min(asked.until);
        self.asked.values().map(next).min().unwrap_or(Time::NEVER)
    }

    /// Takes a response. Refusals to lead point to the next member; it is asked after a short
    /// random pause, so that nodes don't knock in step.
    pub(crate) fn handle(
        &mut self,
        now: Time,
        number: RequestNumber,
        response: Result<Response, ControlFailure>,
        rng: &mut impl Rng,
        member_at: impl Fn(&str) -> Option<usize>,
    ) -> Handled {
        let Some(asked) = self.asked.get_mut(&number) else {
            return Handled::Nothing;
        };
        let range = if asked.purpose == Purpose::Fetch { FETCH_PAUSE } else { RETRY_PAUSE };
        let pause = Duration::from_micros(rng.random_range(range));
        match response {
            Ok(Response::NotLeader(hint)) => {
                asked.again_at = now + pause;
                asked.is_awaited = false;
                let hinted = hint.and_then(|info| member_at(&info.address));
                self.leader = hinted.unwrap_or((self.leader + 1) % self.members);
                Handled::Nothing
            }
            Err(ControlFailure::Unreachable) => {
                asked.again_at = now + pause;
                asked.is_awaited = false;
                self.leader = (self.leader + 1) % self.members;
                Handled::Nothing
            }
            Ok(response) => match self.asked.remove(&number) {
                Some(asked) => Handled::Answer(asked.purpose, response),
                None => Handled::Nothing,
            },
        }
    }

    /// Takes out what was asked for too long.
    pub(crate) fn given_up(&mut self, now: Time) -> Vec<Purpose> {
        let over = self.asked.extract_if(.., |_, asked| now >= asked.until);
        over.map(|(_, asked)| asked.purpose).collect()
    }

    /// Requests to send again now.
    pub(crate) fn due(&mut self, now: Time) -> Vec<Ask> {
        let mut timed_out = false;
        let mut due = Vec::new();
        for (number, asked) in &mut self.asked {
            if now >= asked.again_at {
                timed_out |= asked.is_awaited;
                asked.again_at = now + ASK_TIMEOUT;
                asked.is_awaited = true;
                due.push((*number, asked.request.clone()));
            }
        }
        if timed_out {
            self.leader = (self.leader + 1) % self.members;
        }
        let member = self.leader;
        due.into_iter().map(|(number, request)| Ask { number, member, request }).collect()
    }
}
