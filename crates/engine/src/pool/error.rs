//! Errors of acquiring a connection and of sending a control command.

use crate::evacuation::MayNotSend;
use crate::ports::{BackEndConnectionError, ConnectError};
use quick_error::quick_error;
use std::time::Duration;

quick_error! {
    /// No connection could be acquired. Nothing was sent to the member.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum AcquireError {
        /// All connections are in use, in this pool or at the member.
        Exhausted {
            display("no connection is free")
        }
        /// The request was shed: requests already wait so long that any further one would miss
        /// its deadline.
        Shed(retry_after: Duration) {
            display("too many requests wait; to come back after {} ms", retry_after.as_millis())
        }
        /// The member is in slow start and its statement limit is used up for now.
        SlowStart(retry_after: Duration) {
            display("the member is cold; to come back after {} ms", retry_after.as_millis())
        }
        /// The member cannot be reached.
        Unreachable(reason: String) {
            display("unreachable: {reason}")
        }
        /// A different member listens at the address.
        WrongMember {
            display("another member listens there")
        }
        /// Sending to the member is not permitted, because its zone is or may be evacuated.
        MayNotSend(reason: MayNotSend) {
            display("{reason}")
            from()
        }
        /// The home regions changed while the request waited and now exclude the member.
        OutsideRegions {
            display("no longer in a home region")
        }
    }
}

quick_error! {
    /// A control command failed, or its outcome is unknown.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ControlError {
        /// No connection could be opened.
        Connect(error: ConnectError) {
            display("{error}")
        }
        /// The member accepts no further connection and none of the pool became free in time.
        Acquire(error: AcquireError) {
            display("{error}")
            from()
        }
        /// The member did not answer, or refused the command.
        Link(error: BackEndConnectionError) {
            display("{error}")
            from()
        }
    }
}
