//! Why a connection could not be had, or an order not be given.

use crate::evacuation::MayNotSend;
use crate::ports::{ConnectError, LinkError};
use quick_error::quick_error;
use std::time::Duration;

quick_error! {
    /// No connection could be had. Nothing has been sent.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum AcquireError {
        /// All connections are in use, here or at the member.
        Exhausted {
            display("no connection is free")
        }
        /// Requests wait for so long that more of them would all be late.
        Shed(retry_after: Duration) {
            display("too many requests wait; to come back after {} ms", retry_after.as_millis())
        }
        /// The member is cold, and takes no more for a while.
        SlowStart(retry_after: Duration) {
            display("the member is cold; to come back after {} ms", retry_after.as_millis())
        }
        /// The member can't be reached.
        Unreachable(reason: String) {
            display("unreachable: {reason}")
        }
        /// Another member listens at the address.
        WrongMember {
            display("another member listens there")
        }
        /// Nothing may be sent to the member.
        MayNotSend(reason: MayNotSend) {
            display("{reason}")
            from()
        }
        /// The home regions have changed while the request waited, and rule the member out.
        OutsideRegions {
            display("no longer in a home region")
        }
    }
}

quick_error! {
    /// An order was not carried out, as far as is known.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ControlError {
        /// No connection could be opened.
        Connect(error: ConnectError) {
            display("{error}")
        }
        /// All connections stayed in use.
        Acquire(error: AcquireError) {
            display("{error}")
            from()
        }
        /// There was no answer, or a refusal.
        Link(error: LinkError) {
            display("{error}")
            from()
        }
    }
}
