//! Batched rounds: one question to many, asked once for all that wait for it.
//!
//! A caller that must know something *as of now* (that a term has not been
//! replaced, where a primary's log ends) can't use an answer to a question that was
//! asked before it came: what it depends on may have happened since. [`Rounds`]
//! keeps at most one round in flight. Callers that come meanwhile share the next
//! one, which begins when the present one has ended. So each caller waits for less
//! than two rounds, and the number of rounds does not depend on the number of callers.
//!
//! ```
//! use std::sync::atomic::{AtomicU64, Ordering};
//! use stilequay_coordination::confirmation::Rounds;
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() {
//! static TERM: AtomicU64 = AtomicU64::new(7);
//! let rounds = Rounds::new(|| async { TERM.load(Ordering::SeqCst) });
//! TERM.store(8, Ordering::SeqCst);
//! assert_eq!(rounds.join().await, Ok(8));
//! # }
//! ```

use futures::future::BoxFuture;
use quick_error::quick_error;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::oneshot;

quick_error! {
    /// A round gave no outcome.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum RoundError {
        /// The round panicked, or the runtime is shutting down. A later call begins a new one.
        Aborted {
            display("the round was aborted")
        }
    }
}

type Run<T> = dyn Fn() -> BoxFuture<'static, T> + Send + Sync;

/// Rounds of one question. Clones share them.
pub struct Rounds<T> {
    shared: Arc<Shared<T>>,
}

struct Shared<T> {
    run: Box<Run<T>>,
    state: Mutex<State<T>>,
}

struct State<T> {
    running: bool,
    /// Callers that the next round to begin will serve.
    joined: Vec<oneshot::Sender<T>>,
}

impl<T: Clone + Send + 'static> Rounds<T> {
    /// Rounds in which `run` is called. It is called once for each round, and
    /// everything that the round observes must be observed after that call.
    ///
    /// `run` should bound its own time: the callers that came after it began wait for its end.
    pub fn new<F, R>(run: R) -> Self
    where
        F: Future<Output = T> + Send + 'static,
        R: Fn() -> F + Send + Sync + 'static,
    {
        let shared = Shared {
            run: Box::new(move || Box::pin(run())),
            state: Mutex::new(State {
                running: false,
                joined: Vec::new(),
            }),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// The outcome of a round that begins after this call. Must be called within a
    /// tokio runtime.
    ///
    /// Cancel-safe: a round does not stop when one of its callers goes; a round that
    /// nobody waits for any more is not begun.
    ///
    /// # Errors
    ///
    /// [`RoundError::Aborted`] where the round ended without an outcome.
    pub async fn join(&self) -> Result<T, RoundError> {
        let (sender, receiver) = oneshot::channel();
        let begins = {
            let mut state = self.shared.lock();
            state.joined.push(sender);
            !std::mem::replace(&mut state.running, true)
        };
        if begins {
            tokio::spawn(run_while_joined(Arc::clone(&self.shared)));
        }
        receiver.await.map_err(|_| RoundError::Aborted)
    }
}

impl<T> Clone for Rounds<T> {
    fn clone(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
        }
    }
}

impl<T> fmt::Debug for Rounds<T> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = self.shared.lock();
        formatter
            .debug_struct("Rounds")
            .field("running", &state.running)
            .field("joined", &state.joined.len())
            .finish_non_exhaustive()
    }
}

impl<T> Shared<T> {
    fn lock(&self) -> MutexGuard<'_, State<T>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes those that the next round serves; `None` ends the task.
    fn take_joined(&self) -> Option<Vec<oneshot::Sender<T>>> {
        let mut state = self.lock();
        state.joined.retain(|caller| !caller.is_closed());
        if state.joined.is_empty() {
            state.running = false;
            return None;
        }
        Some(std::mem::take(&mut state.joined))
    }
}

async fn run_while_joined<T: Clone + Send + 'static>(shared: Arc<Shared<T>>) {
    let mut abort = AbortOnDrop {
        shared: &shared,
        ended: false,
    };
    // The callers are taken before the round is begun: one that comes later joins
    // the next round, and never this one.
    while let Some(callers) = shared.take_joined() {
        let outcome = (shared.run)().await;
        for caller in callers {
            drop(caller.send(outcome.clone()));
        }
    }
    abort.ended = true;
}

/// Lets later callers begin anew when the task ends in the middle of a round.
struct AbortOnDrop<'a, T> {
    shared: &'a Shared<T>,
    ended: bool,
}

impl<T> Drop for AbortOnDrop<'_, T> {
    fn drop(&mut self) {
        // After a proper end another task may run rounds already.
        if self.ended {
            return;
        }
        let mut state = self.shared.lock();
        state.running = false;
        state.joined.clear();
    }
}
