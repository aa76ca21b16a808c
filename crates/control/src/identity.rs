//! Identity and initial state of a member.

use crate::member::{Founding, MemberSettings};
use crate::state::ControlState;
use topazmount_consensus::{
    Disk, DiskError, MemberId, MemberInfo, Membership, RaftMember, RecoveredState,
};
use topazmount_types::Digest;

/// File that holds the member's identity.
pub(crate) const IDENTITY_FILE: &str = "identity";

/// Reads the identity from a disk, if it has one.
pub(crate) fn read_identity<D: Disk>(disk: &D) -> Result<Option<MemberId>, DiskError> {
    let bytes = disk.read(IDENTITY_FILE)?;
    let bytes = bytes.and_then(|bytes| <[u8; 8]>::try_from(bytes).ok());
    Ok(bytes.map(|bytes| MemberId(u64::from_le_bytes(bytes))))
}

/// Identity on an empty disk. Founding members derive theirs from their names, so that all agree on
/// them; others get a new one.
pub(crate) fn initial_identity(settings: &MemberSettings, founding: Option<&Founding>) -> MemberId {
    match founding {
        Some(_) => founding_identity(&settings.info),
        None => MemberId(Digest::of(&settings.seed.to_le_bytes()).prefix()),
    }
}

fn founding_identity(info: &MemberInfo) -> MemberId {
    MemberId(Digest::of_parts(&[b"founding member", info.name.as_bytes()]).prefix())
}

/// State on an empty disk.
pub(crate) fn initial_state(founding: Option<&Founding>) -> RecoveredState {
    let Some(founding) = founding else {
        return RecoveredState::default();
    };
    let voters = founding.members.iter().map(|info| (founding_identity(info), info.clone()));
    let membership = Membership::initial(voters.collect());
    let state = ControlState::founding(founding.source.clone());
    let data = rmp_serde::to_vec_named(&state).expect("the state is plain data");
    RaftMember::bootstrap_state(membership, data)
}
