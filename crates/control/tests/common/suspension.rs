//! Machines that are suspended, and clocks that differ for it.

use super::{Host, World};
use topazmount_control::{MemberInput, Request, Token};
use topazmount_types::Time;

impl World {
    /// Suspends a machine: nothing runs there, and its clock may stand still.
    pub fn suspend(&mut self, host: Host) {
        if self.is_up(host) && !self.is_frozen(host) {
            self.freeze(host);
            self.machines.get_mut(&host).unwrap().suspended_at = Some(self.now);
        }
    }

    /// Ends that. The first thing that the process sees is a request that came in meanwhile.
    pub fn resume(&mut self, host: Host, request: Request) -> Option<Token> {
        let token = self.token();
        let (now, do_clocks_stop) = (self.now, self.do_clocks_stop);
        let machine = self.machines.get_mut(&host)?;
        let since = machine.suspended_at.take()?;
        if do_clocks_stop {
            machine.behind += now.since(since);
        }
        machine.held.as_mut()?.insert(0, MemberInput::Request(token, request));
        self.thaw(host);
        Some(token)
    }

    /// What a machine's clock says.
    pub fn clock_of(&self, host: Host) -> Time {
        self.machines.get(&host).map_or(self.now, |machine| self.now - machine.behind)
    }

    /// Members that believe to lead with a lease, by their own clocks.
    pub fn holders(&self) -> Vec<Host> {
        let holds = |host: &Host| {
            let clock = self.clock_of(*host);
            self.member(*host).is_some_and(|member| member.replica().has_lease(clock))
        };
        self.machines.keys().copied().filter(|host| !self.is_frozen(*host) && holds(host)).collect()
    }
}
