//! The replicated state as the group's state machine.

use crate::sync::lock;
use control::{Command, State, decode, encode};
use group::StateMachine;
use std::sync::{Arc, Mutex};

/// A machine that applies commands to `state`.
pub(crate) fn machine(state: &Arc<Mutex<State>>) -> StateMachine {
    let applied = Arc::clone(state);
    let saved = Arc::clone(state);
    let restored = Arc::clone(state);
    StateMachine {
        apply: Box::new(move |index, buf| apply(&mut lock(&applied), index, buf)),
        snapshot: Box::new(move || lock(&saved).snapshot()),
        restore: Box::new(move |_, buf| {
            *lock(&restored) = State::restore(buf)?;
            Ok(())
        }),
    }
}

/// A command that can't be decoded changes nothing, in the same way on each voter.
fn apply(state: &mut State, index: u64, buf: &[u8]) -> Vec<u8> {
    match decode::<Command>(buf) {
        Ok(command) => encode(&state.apply(index, &command)),
        Err(err) => {
            log::error!("the command at {index} can't be decoded: {err}");
            state.skip(index);
            Vec::new()
        }
    }
}
