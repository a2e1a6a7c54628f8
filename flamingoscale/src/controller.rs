//! Controllers: background tasks of the control thread. Each has one responsibility, such as
//! endpoint orders, usage reports or the weights of the engines.

use std::{
    cell::RefCell,
    rc::Rc,
    sync::Arc, //
};

pub(crate) mod lease_driver;
pub mod orders;
pub mod usage;
pub mod weights;

use crate::{
    instance::Instance,
    platform::{
        EndpointOrders,
        InstanceList,
        Log,
        UsageReports, //
    },
    state::State, //
};

/// The platform's interfaces, for use on the control thread.
#[derive(Clone)]
pub struct Platform {
    /// The append-only log.
    pub log: Rc<dyn Log>,
    /// The platform's list of instances, which may lag behind the actual set.
    pub instances: Rc<dyn InstanceList>,
    /// Sends orders that start and stop endpoints.
    pub orders: Rc<dyn EndpointOrders>,
    /// Sends usage reports to the platform.
    pub usage: Rc<dyn UsageReports>,
}

/// The state and the interfaces that a controller receives when it starts.
#[derive(Clone)]
pub struct ControlContext {
    /// State that is shared with all other threads.
    pub instance: Arc<Instance>,
    /// The state folded from the log. Never hold a borrow across an await.
    pub state: Rc<RefCell<State>>,
    /// The platform's interfaces.
    pub platform: Platform,
}

/// A background task of the control thread with one responsibility.
pub trait Controller: Send {
    /// The controller's name in logs and on the time line.
    fn name(&self) -> &'static str;

    /// Starts the controller on the control thread: spawns an actor or local tasks there and
    /// returns at once.
    fn start(self: Box<Self>, context: ControlContext);
}
