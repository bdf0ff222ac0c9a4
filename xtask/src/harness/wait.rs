//! Bounded waits by polling.

use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::units::duration_ms;

use crate::errors::Error;
use crate::errors::Result;

const POLL: Duration = Duration::from_millis(20);

/// Polls until `check` returns a value; its error describes the state that it saw.
///
/// # Errors
/// [`Error::NotReached`] with the last state seen when the bound passes.
pub fn until<T>(
    what: &str,
    bound: Duration,
    mut check: impl FnMut() -> std::result::Result<T, String>,
) -> Result<T> {
    let ends = Instant::now() + bound;
    loop {
        match check() {
            Ok(value) => return Ok(value),
            Err(seen) if Instant::now() >= ends => {
                return Err(Error::NotReached {
                    what: what.to_owned(),
                    bound_ms: duration_ms(bound),
                    seen,
                });
            }
            Err(_) => std::thread::sleep(POLL),
        }
    }
}
