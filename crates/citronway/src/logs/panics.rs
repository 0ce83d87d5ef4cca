//! Panics as lines of the logs.

use std::any::Any;
use std::panic;
use std::thread;

/// Has each panic of the process logged, beside what goes to standard error.
///
/// Failure: a task panics, its thread goes on without it, and the logs show an instance
/// that does less than before and nothing of the reason.
pub fn log_panics() {
    let before = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        let thread = thread::current();
        let thread = thread.name().unwrap_or("-");
        let place = info.location().map(ToString::to_string);
        let place = place.as_deref().unwrap_or("-");
        let cause = words_of_panic(info.payload());
        log::error!(thread, place, cause; "a panic");
        before(info);
    }));
}

/// What a panic said.
#[must_use]
pub fn words_of_panic(payload: &(dyn Any + Send)) -> &str {
    let text = payload.downcast_ref::<&str>().copied();
    let owned = || payload.downcast_ref::<String>().map(String::as_str);
    text.or_else(owned).unwrap_or("no words")
}
