//! Processes as the network sees them: running, frozen or gone; and connections that break.

use crate::sim::network::Transfer;
use crate::sim::packet::{Answer, Packet, Place};
use crate::sim::world::{Event, World};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use topazmount_node::{ActionFailure, AttemptFailure, ControlFailure, NodeInput};
use topazmount_types::Time;

/// Time after which a connection that nobody answers is given up by whoever opens it.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Default)]
struct Process {
    run: u64,
    is_up: bool,
    is_frozen: bool,
    /// Gone without a trace: connections to it are not refused but stay unanswered.
    is_silent: bool,
    held: VecDeque<Event>,
    disturbed_at: Time,
}

/// All processes.
#[derive(Default)]
pub struct Processes {
    known: HashMap<Place, Process>,
}

impl Processes {
    /// Starts a process, with a new run.
    pub fn start(&mut self, place: Place) -> u64 {
        let process = self.known.entry(place).or_default();
        process.run += 1;
        process.is_up = true;
        process.is_frozen = false;
        process.is_silent = false;
        process.held.clear();
        process.run
    }

    /// Ends a process; gives what was kept for it.
    fn stop(&mut self, place: Place, is_silent: bool) -> VecDeque<Event> {
        let process = self.known.entry(place).or_default();
        process.is_up = false;
        process.is_frozen = false;
        process.is_silent = is_silent;
        std::mem::take(&mut process.held)
    }

    /// Its run, when it is up. Callers and operators are always there.
    pub fn run(&self, place: Place) -> Option<u64> {
        match place {
            Place::Caller(_) | Place::Operator => Some(0),
            _ => self.known.get(&place).filter(|process| process.is_up).map(|process| process.run),
        }
    }

    /// Whether it is up and not frozen.
    pub fn is_running(&self, place: Place) -> bool {
        self.run(place).is_some() && !self.is_frozen(place)
    }

    /// Whether it is kept from running.
    pub fn is_frozen(&self, place: Place) -> bool {
        self.known.get(&place).is_some_and(|process| process.is_frozen)
    }

    /// Keeps an event until the process runs again.
    pub fn hold(&mut self, place: Place, event: Event) {
        if let Some(process) = self.known.get_mut(&place) {
            process.held.push_back(event);
        }
    }

    /// Notes that something was done to a place that excuses it for a while.
    pub fn disturb(&mut self, place: Place, at: Time) {
        let process = self.known.entry(place).or_default();
        process.disturbed_at = process.disturbed_at.max(at);
    }

    /// Whether nothing was done to a place since then.
    pub fn is_undisturbed_since(&self, place: Place, since: Time) -> bool {
        let disturbed = self.known.get(&place).map_or(Time::ZERO, |process| process.disturbed_at);
        disturbed < since && self.is_running(place)
    }

    fn is_silent(&self, place: Place) -> bool {
        self.known.get(&place).is_some_and(|process| process.is_silent)
    }
}

impl World {
    /// Ends a process. What it had not taken in yet finds nobody.
    pub(crate) fn end_process(&mut self, place: Place, is_silent: bool) {
        for event in self.processes.stop(place, is_silent) {
            self.schedule.push(self.now, event);
        }
    }

    /// Keeps a process from running.
    pub(crate) fn freeze(&mut self, place: Place) {
        if let Some(process) = self.processes.known.get_mut(&place) {
            process.is_frozen = process.is_up;
        }
        self.processes.disturb(place, self.now);
        self.trace(|| format!("{place:?} freezes"));
    }

    /// Lets a frozen process go on with what came in the meantime.
    pub(crate) fn thaw(&mut self, place: Place) {
        let Some(process) = self.processes.known.get_mut(&place) else { return };
        if !std::mem::take(&mut process.is_frozen) {
            return;
        }
        let held = std::mem::take(&mut process.held);
        self.processes.disturb(place, self.now);
        self.trace(|| format!("{place:?} thaws"));
        for event in held {
            self.schedule.push(self.now, event);
        }
    }

    /// A message whose receiver is gone: whoever waits for it learns of the broken connection.
    pub(crate) fn bounce(&mut self, transfer: Transfer) {
        let Transfer { from, to, packet, .. } = transfer;
        let answer = match packet {
            Packet::Submit(dispatch) => {
                let failure = AttemptFailure::NotConnected;
                Packet::Input(Box::new(NodeInput::Failed(dispatch.attempt, failure)))
            }
            Packet::Call(attempt, ..) => {
                let failure = ActionFailure::NotConnected;
                Packet::Input(Box::new(NodeInput::ActionFailed(attempt, failure)))
            }
            Packet::Control(number, _) if matches!(from, Place::Node(_)) => {
                let failure = Err(ControlFailure::Unreachable);
                Packet::Input(Box::new(NodeInput::Control(number, failure)))
            }
            Packet::Ask(request, _) => Packet::Answer(request, Answer::NotConnected),
            _ => return,
        };
        if self.processes.is_silent(to) {
            self.answer_after(CONNECT_TIMEOUT, from, answer);
        } else {
            self.send(to, from, answer);
        }
    }

    /// Tells `to` something that it finds out by itself after a while.
    pub(crate) fn answer_after(&mut self, wait: Duration, to: Place, packet: Packet) {
        let to_run = self.processes.run(to);
        let transfer = Transfer { from: to, from_run: 0, to, to_run, sent_at: self.now, packet };
        self.schedule.push(self.now + wait, Event::Deliver(Box::new(transfer)));
    }

    /// Opens a connection and sends a request on it; fails as a real one would in a cut.
    pub(crate) fn open_and_send(&mut self, from: Place, to: Place, packet: Packet) {
        let is_cut = self.network.is_cut(from, to) || self.network.is_cut(to, from);
        if !is_cut {
            return self.send(from, to, packet);
        }
        let failed = match packet {
            Packet::Submit(dispatch) => {
                NodeInput::Failed(dispatch.attempt, AttemptFailure::NotConnected)
            }
            Packet::Call(attempt, ..) => {
                NodeInput::ActionFailed(attempt, ActionFailure::NotConnected)
            }
            _ => return,
        };
        self.answer_after(CONNECT_TIMEOUT, from, Packet::Input(Box::new(failed)));
    }
}
