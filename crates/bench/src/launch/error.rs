//! Why a topology could not be started or steered.

use quick_error::quick_error;
use std::io;
use std::time::Duration;

quick_error! {
    /// Why a topology could not be started or steered.
    #[derive(Debug)]
    pub enum LaunchError {
        /// A program could not be found or built.
        Build(program: String, reason: String) {
            display("{program} could not be built: {reason}")
        }
        /// A process could not be started.
        Start(program: String, error: io::Error) {
            display("{program} could not be started: {error}")
            source(error)
        }
        /// A process ended, or printed something else, before it was ready.
        NotReady(program: String, reason: String) {
            display("{program} did not become ready: {reason}")
        }
        /// A signal could not be sent.
        Signal(program: String, reason: String) {
            display("{program} could not be signalled: {reason}")
        }
        /// A request over HTTP failed.
        Request(url: String, reason: String) {
            display("{url}: {reason}")
        }
        /// A database could not be asked directly.
        Database(reason: String) {
            display("database: {reason}")
        }
        /// Settings make no topology.
        Settings(reason: String) {
            display("{reason}")
        }
        /// A condition did not come true in time.
        NeverCameTrue(condition: String, waited: Duration) {
            display("after {waited:?} still not true: {condition}")
        }
    }
}
