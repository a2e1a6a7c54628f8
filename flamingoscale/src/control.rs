//! The control thread: a single arbiter that owns the folded state, the log client and all
//! controllers.

use std::{
    cell::RefCell,
    rc::Rc,
    sync::Arc, //
};

use actix_rt::{
    Arbiter,
    System, //
};
use derive_more::{
    Display,
    Error, //
};

use crate::{
    controller::{
        ControlContext,
        Controller,
        Platform, //
    },
    instance::Instance,
    log::LogController,
    platform::HttpPlatform,
    state::State, //
};

/// The result of starting the control thread.
pub type Result<T> = std::result::Result<T, ControlError>;

/// An error while starting or stopping the control thread.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum ControlError {
    /// No actix system is running on the calling thread, which is needed to create an arbiter.
    #[display("no actix system runs on this thread: start one first")]
    NoSystem,
    /// The arbiter's thread ended unexpectedly.
    #[display("the control thread ended at once: see the log for its panic")]
    Ended,
}

/// Handle of the running control thread.
#[derive(Debug)]
pub struct ControlHandle {
    arbiter: Arbiter,
}

impl ControlHandle {
    /// Requests the control thread to stop. Records that are not appended yet are lost.
    pub fn stop(&self) {
        // Stopping fails only if the arbiter has already ended.
        let _ = self.arbiter.stop();
    }

    /// Waits until the control thread has ended.
    ///
    /// # Errors
    ///
    /// Returns [`ControlError::Ended`] if the thread panicked.
    pub fn join(self) -> Result<()> {
        self.arbiter.join().map_err(|_| ControlError::Ended)
    }
}

/// Starts the control thread, which connects to the platform at the address in the settings.
///
/// # Errors
///
/// Returns a [`ControlError`] if no actix system is running or the thread ends at once.
pub fn start(
    instance: Arc<Instance>,
    log: LogController,
    controllers: Vec<Box<dyn Controller>>,
) -> Result<ControlHandle> {
    let address = instance.settings.platform;
    start_with_platform(instance, log, controllers, move || {
        HttpPlatform::new(address)
    })
}

/// Starts the control thread with a platform that is created on that thread. Tests use this to
/// replace the platform.
///
/// # Errors
///
/// Returns the same errors as [`start`].
pub fn start_with_platform(
    instance: Arc<Instance>,
    log: LogController,
    controllers: Vec<Box<dyn Controller>>,
    platform: impl FnOnce() -> Platform + Send + 'static,
) -> Result<ControlHandle> {
    System::try_current().ok_or(ControlError::NoSystem)?;
    let arbiter = Arbiter::new();
    let is_started = arbiter.spawn_fn(move || {
        let context = ControlContext {
            instance,
            state: Rc::new(RefCell::new(State::default())),
            platform: platform(),
        };
        run(context, log, controllers);
    });
    is_started
        .then_some(ControlHandle { arbiter })
        .ok_or(ControlError::Ended)
}

fn run(context: ControlContext, log: LogController, controllers: Vec<Box<dyn Controller>>) {
    log.start(context.clone());
    for controller in controllers {
        let name = controller.name();
        controller.start(context.clone());
        let timeline = &context.instance.timeline;
        timeline.record("control.started", "", &[("controller", &name)]);
    }
}
