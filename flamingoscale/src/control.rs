//! The control thread: one arbiter that owns the fold, the log client and all controllers.

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

/// Why the control thread did not start.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum ControlError {
    /// Arbiters belong to a system.
    #[display("no actix system runs on this thread: start one first")]
    NoSystem,
    /// The arbiter ended before it could be used.
    #[display("the control thread ended at once: see the log for its panic")]
    Ended,
}

/// The running control thread.
#[derive(Debug)]
pub struct ControlHandle {
    arbiter: Arbiter,
}

impl ControlHandle {
    /// Asks the control thread to end; what is not yet appended is lost.
    pub fn stop(&self) {
        // An arbiter that has ended already needs no stopping.
        let _ = self.arbiter.stop();
    }

    /// Waits until the control thread has ended.
    ///
    /// # Errors
    ///
    /// [`ControlError::Ended`] when it panicked.
    pub fn join(self) -> Result<()> {
        self.arbiter.join().map_err(|_| ControlError::Ended)
    }
}

/// Starts the control thread with the platform of the settings.
///
/// # Errors
///
/// A [`ControlError`] when there is no system to run it.
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

/// Starts the control thread with a platform that is made on that thread, for tests and
/// experiments.
///
/// # Errors
///
/// As [`start`].
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
