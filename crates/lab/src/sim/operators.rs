//! Operators who change the configuration, race one another and resend after lost answers.

use crate::sim::checks::CONFIGURATION_LIMIT;
use crate::sim::network::Transfer;
use crate::sim::packet::{Packet, Place};
use crate::sim::plant::Plant;
use crate::sim::world::{Event, World};
use rand::Rng;
use std::time::Duration;
use topazmount_control::{ChangeReply, ChangeRequest, Request, Response};
use topazmount_settings::SourceFiles;
use topazmount_types::{Digest, Revision, Time};

/// Wait for one member's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// How long an operator goes on trying.
const PATIENCE: Duration = Duration::from_secs(15);
/// Longest extra pause before another try, in milliseconds.
const PAUSE_MS: u64 = 100;
/// Line that each change rewrites; it is a comment, so that only the text changes.
const MARK: &str = "# change ";
/// Declaration file that is changed.
const FILE: &str = "deployment.toml";

/// One change of the configuration, from reading to acceptance.
struct Change {
    request: Digest,
    /// Revision read, and the texts that shall replace it.
    wanted: Option<(Revision, SourceFiles)>,
    member: usize,
    asked: u64,
    until: Time,
    is_done: bool,
    /// The answer is dropped once, as if it were lost.
    loses_answer: bool,
    accepted: Option<Revision>,
}

/// All operators.
#[derive(Default)]
pub struct Operators {
    changes: Vec<Change>,
    next_number: u64,
}

impl World {
    /// An operator begins a change.
    pub(crate) fn begin_change(&mut self) {
        if self.members.is_empty() {
            return;
        }
        let number = self.operators.changes.len();
        let request = Digest::of(format!("change {} {number}", self.settings.seed).as_bytes());
        self.operators.changes.push(Change {
            request,
            wanted: None,
            member: self.rng.random_range(0..self.members.len()),
            asked: 0,
            until: self.now + PATIENCE,
            is_done: false,
            loses_answer: self.rng.random_bool(0.3),
            accepted: None,
        });
        self.ask_member(number);
    }

    fn ask_member(&mut self, number: usize) {
        self.operators.next_number += 1;
        let asked = self.operators.next_number;
        let change = &mut self.operators.changes[number];
        if change.is_done || self.now >= change.until {
            return;
        }
        change.asked = asked;
        let request = match &change.wanted {
            None => Request::Source,
            Some((expected, source)) => Request::Change(ChangeRequest {
                expected: *expected,
                request: change.request,
                source: source.clone(),
            }),
        };
        let member = Place::Member(change.member);
        self.send(Place::Operator, member, Packet::Control(asked, Box::new(request)));
        self.schedule.push(self.now + ANSWER_TIMEOUT, Event::OperatorWake(number, asked));
    }

    /// Tries the next member when the one asked has not answered.
    pub(crate) fn wake_operator(&mut self, number: usize, asked: u64) {
        let members = self.members.len();
        let change = &mut self.operators.changes[number];
        if change.asked != asked {
            return;
        }
        change.member = (change.member + 1) % members;
        self.ask_member(number);
    }

    pub(crate) fn operator_receives(&mut self, transfer: Transfer) {
        let Packet::Reply(asked, response) = transfer.packet else { return };
        let changes = &mut self.operators.changes;
        let found = changes.iter().position(|change| change.asked == asked && !change.is_done);
        let Some(number) = found else { return };
        match *response {
            Response::Source(revision, source) => {
                let source = self.edited(number, source);
                self.operators.changes[number].wanted = Some((revision, source));
                self.ask_member(number);
            }
            Response::Change(reply) => self.take_reply(number, reply),
            // The wake-up that is already scheduled tries the next member.
            _ => {
                let pause = Duration::from_millis(self.rng.random_range(0..PAUSE_MS));
                self.schedule.push(self.now + pause, Event::OperatorWake(number, asked));
            }
        }
    }

    fn take_reply(&mut self, number: usize, reply: ChangeReply) {
        let change = &mut self.operators.changes[number];
        if std::mem::take(&mut change.loses_answer) {
            return;
        }
        change.is_done = true;
        let Some((expected, _)) = change.wanted else { return };
        let reply = match reply {
            ChangeReply::Conflict(at) if self.settings.plant == Some(Plant::TwoWinners) => {
                ChangeReply::Accepted(at)
            }
            reply => reply,
        };
        if let ChangeReply::Accepted(revision) = reply {
            change.accepted = Some(revision);
            let request = change.request;
            self.trace(|| format!("configuration {revision} is accepted"));
            self.checks.accepted(self.now, expected, revision, request);
            let due = self.now + CONFIGURATION_LIMIT;
            self.schedule.push(due, Event::CheckConfiguration(revision, self.now));
        }
    }

    /// The texts with this change's mark.
    fn edited(&self, number: usize, mut source: SourceFiles) -> SourceFiles {
        if let Some(text) = source.0.get_mut(FILE) {
            let kept: Vec<&str> = text.lines().filter(|line| !line.starts_with(MARK)).collect();
            *text = format!("{}\n{MARK}{} by {number}\n", kept.join("\n"), self.now.0);
        }
        source
    }
}
