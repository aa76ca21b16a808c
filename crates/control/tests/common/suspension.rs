//! Suspended machines, and the clock differences that they cause.

use super::{Host, World};
use topazmount_control::{MemberInput, Request, Token};
use topazmount_types::Time;

impl World {
    /// Suspends a machine: nothing runs there, and its clock may stop.
    pub fn suspend(&mut self, host: Host) {
        if self.is_up(host) && !self.is_frozen(host) {
            self.freeze(host);
            self.machines.get_mut(&host).unwrap().suspended_at = Some(self.now);
        }
    }

    /// Resumes a machine. Its first input is a request that arrived during the suspension.
    pub fn resume(&mut self, host: Host, request: Request) -> Option<Token> {
        let token = self.token();
        let (now, do_clocks_stop) = (self.now, self.do_clocks_stop);
        let machine = self.machines.get_mut(&host)?;
        let since = machine.suspended_at.take()?;
        if do_clocks_stop {
            machine.clock_lag += now.since(since);
        }
        machine.held_inputs.as_mut()?.insert(0, MemberInput::Request(token, request));
        self.thaw(host);
        Some(token)
    }

    /// A machine's clock.
    pub fn clock_of(&self, host: Host) -> Time {
        self.machines.get(&host).map_or(self.now, |machine| self.now - machine.clock_lag)
    }

    /// Members that believe to lead with a lease, by their own clocks.
    pub fn leaders(&self) -> Vec<Host> {
        let leads = |host: &Host| {
            let clock = self.clock_of(*host);
            self.member(*host).is_some_and(|member| member.replica().has_lease(clock))
        };
        self.machines.keys().copied().filter(|host| !self.is_frozen(*host) && leads(host)).collect()
    }
}
