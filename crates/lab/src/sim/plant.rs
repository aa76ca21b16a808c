//! Violations planted in the simulator's wiring, by which each checker is proved to catch what it
//! is there for. None of them touches the product's code.

/// A planted violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    /// The network delivers some calls to the application twice.
    CallDeliveredTwice,
    /// Some callers get text that belongs to another answer.
    CrossedText,
    /// Text of some answers is lost on its way to the caller.
    LostText,
    /// Some ends of answers are lost on their way to the caller.
    SilentEnd,
    /// Some refusals claim that nothing ran.
    FalseNotRun,
    /// Prompt hashes leave the tenant out.
    SharedHashes,
    /// Restarted nodes forget the configuration that they had saved.
    ForgottenConfiguration,
    /// Leaving engines accept work, and neither they nor the list say that they leave.
    HiddenLeaving,
    /// A planned stop drops open requests.
    AbruptStop,
    /// Members lose what they had synced when they restart.
    LostSyncs,
    /// Updates of the configuration do not reach one of the nodes.
    WithheldUpdates,
    /// Two members are told that they hold the lease.
    DoubledLease,
    /// Operators are told that a refused change was accepted.
    TwoWinners,
}

impl Plant {
    /// All of them.
    pub const ALL: [Plant; 13] = [
        Plant::CallDeliveredTwice,
        Plant::CrossedText,
        Plant::LostText,
        Plant::SilentEnd,
        Plant::FalseNotRun,
        Plant::SharedHashes,
        Plant::ForgottenConfiguration,
        Plant::HiddenLeaving,
        Plant::AbruptStop,
        Plant::LostSyncs,
        Plant::WithheldUpdates,
        Plant::DoubledLease,
        Plant::TwoWinners,
    ];
}
