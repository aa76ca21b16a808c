//! What callers check of the answers they get.

use super::*;

impl World {
    pub(crate) fn caller_receives(&mut self, transfer: Transfer) {
        let Packet::Answer(request, answer) = transfer.packet else { return };
        let Some(ask) = self.callers.ask(request).filter(|ask| !ask.has_left) else { return };
        let is_open = ask.is_open;
        let is_broken = matches!(answer, Answer::Broken | Answer::NotConnected);
        if !is_open {
            if !is_broken {
                let detail = format!("{request} was answered after its end");
                self.checks.violated(self.now, Invariant::OneAnswer, detail);
            }
            return;
        }
        match answer {
            Answer::Text(text) => self.take_text(request, &text),
            Answer::Finish(usage) => self.take_finish(request, usage.cached_tokens),
            Answer::Refuse(refusal) => self.take_refusal(request, &refusal),
            Answer::Action(result) => self.take_result(request, result),
            Answer::Lookup(outcome) => self.take_lookup(request, outcome),
            Answer::Broken => self.take_broken(request, transfer.from),
            Answer::NotConnected => {
                self.close(request, Outcome::Broken);
                self.ask_again(request, Duration::ZERO);
            }
        }
    }

    fn take_text(&mut self, request: RequestId, text: &str) {
        if self.is_planted(Plant::LostText) && self.rng.random_bool(0.001) {
            return;
        }
        let is_crossed = self.is_planted(Plant::CrossedText) && self.rng.random_bool(0.001);
        let now = self.now;
        let Some(ask) = self.callers.asks.get_mut(request.0 as usize) else { return };
        let tokens = (text.len() / TOKEN_CHARACTERS) as u32;
        let prompt = if is_crossed { Digest::default() } else { ask.prompt };
        let expected: String =
            (ask.position..ask.position + tokens).map(|at| token_text(prompt, at)).collect();
        ask.position += tokens;
        if let Some(last) = ask.last_token.replace(now) {
            ask.longest_pause = ask.longest_pause.max(now.since(last));
        }
        ask.first_token.get_or_insert(now);
        let leaves = ask.position == 2;
        if expected != text {
            let detail = format!("{request} got text that is not its own at {}", ask.position);
            self.checks.violated(now, Invariant::OwnAnswer, detail);
        }
        if leaves && self.rng.random_bool(LEAVE_CHANCE) {
            self.leave(request);
        }
    }

    /// The caller closes the connection in the middle of its answer.
    fn leave(&mut self, request: RequestId) {
        let Some(ask) = self.callers.asks.get_mut(request.0 as usize) else { return };
        ask.is_open = false;
        ask.has_left = true;
        let (zone, node, run) = (ask.zone, Place::Node(ask.node), ask.node_run);
        let operation = ask.operation;
        self.callers.operations[operation].is_done = true;
        self.send_to_run(Place::Caller(zone), node, run, Packet::Leave(request));
    }

    fn take_finish(&mut self, request: RequestId, cached_tokens: u32) {
        let Some(ask) = self.callers.ask(request) else { return };
        let expected = answer_length(ask.prompt).min(ask.max_tokens);
        let position = ask.position;
        if position != expected {
            let detail = format!("{request} ended with {position} of {expected} tokens");
            self.checks.violated(self.now, Invariant::WholeStreams, detail);
        }
        self.close_with(request, Outcome::Answered, cached_tokens);
    }

    fn take_refusal(&mut self, request: RequestId, refusal: &Refusal) {
        let now = self.now;
        self.trace(|| format!("caller of {request} is refused: {}", refusal.kind.name()));
        let Some(ask) = self.callers.asks.get_mut(request.0 as usize) else { return };
        if refusal.run == RunState::NotRun {
            ask.said_not_run = true;
            if ask.has_run {
                let detail = format!("{request} ran and was refused as not run");
                self.checks.violated(now, Invariant::TrueNotRun, detail);
            }
        }
        self.close(request, Outcome::Refused(refusal.kind));
        let wait = refusal.retry_after.unwrap_or_default();
        match refusal.kind {
            ErrorKind::KeyReused | ErrorKind::ResultExpired => {
                let detail = format!("{request} was refused with {}", refusal.kind.name());
                self.checks.violated(now, Invariant::Durability, detail);
            }
            _ => self.ask_again(request, wait),
        }
    }

    fn take_result(&mut self, request: RequestId, result: ActionResult) {
        let now = self.now;
        self.close(request, Outcome::Answered);
        let Some(number) = self.callers.ask(request).map(|ask| ask.operation) else { return };
        let operation = &mut self.callers.operations[number];
        operation.is_done = true;
        let first = operation.result.get_or_insert_with(|| result.clone());
        if *first != result {
            let detail = format!("{request} got another result than an earlier try");
            self.checks.violated(now, Invariant::Durability, detail);
        }
        let Work::Action { key, .. } = &operation.arrival.work else { return };
        let key = key.clone();
        let is_own = result.body.contains(&format!("\"{key}\""));
        if !is_own || self.applications.runs(&key) == 0 {
            let detail = format!("{request} got a result that is not its own");
            self.checks.violated(now, Invariant::OwnAnswer, detail);
        }
        if self.rng.random_bool(TWIN_CHANCE) {
            self.look_up(request);
        }
    }

    /// Asks another node what became of a call that was answered.
    fn look_up(&mut self, request: RequestId) {
        let Some(ask) = self.callers.ask(request) else { return };
        let (operation, zone) = (ask.operation, ask.zone);
        let arrival = &self.callers.operations[operation].arrival;
        let Work::Action { key, .. } = &arrival.work else { return };
        let tenant = self.declarations.tenants[arrival.tenant].id;
        let key = ActionKey { tenant, key: Digest::of(key.as_bytes()) };
        let other = self.other_zone(zone);
        let node = self.node_in(other);
        let request = RequestId(self.callers.asks.len() as u64);
        let place = Place::Node(node);
        let node_run = self.processes.run(place);
        self.callers.asks.push(Ask::new(operation, node, node_run, zone, self.now));
        self.send(Place::Caller(zone), place, Packet::Ask(request, Question::Lookup(key)));
        let due = self.now + LOOKUP_LIMIT;
        self.schedule.push(due, Event::CallerCheck(request));
    }

    fn take_lookup(&mut self, request: RequestId, outcome: LookupOutcome) {
        let now = self.now;
        let Some(ask) = self.callers.asks.get_mut(request.0 as usize) else { return };
        ask.is_open = false;
        let known = &self.callers.operations[ask.operation].result;
        let is_true = match outcome {
            LookupOutcome::Finished(result) => known.as_ref() == Some(&result),
            // The result was given to the caller before it could be recorded.
            LookupOutcome::InProgress | LookupOutcome::Unknown => true,
            LookupOutcome::Absent | LookupOutcome::Expired => false,
        };
        if !is_true {
            let detail = format!("{request}: a call that was answered is not known any more");
            self.checks.violated(now, Invariant::Durability, detail);
        }
    }

    fn take_broken(&mut self, request: RequestId, from: Place) {
        if let Place::Node(node) = from
            && self.nodes[node].is_stopping
        {
            let detail = format!("{request} was cut by the planned stop of node {node}");
            self.checks.violated(self.now, Invariant::CleanStop, detail);
        }
        self.close(request, Outcome::Broken);
        self.ask_again(request, Duration::ZERO);
    }
}
