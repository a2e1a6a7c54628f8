//! Controllers of state: each looks after one matter on the control thread.

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

/// The platform's interfaces, as the control thread uses them.
#[derive(Clone)]
pub struct Platform {
    /// The append-only log.
    pub log: Rc<dyn Log>,
    /// The lagging list of instances.
    pub instances: Rc<dyn InstanceList>,
    /// Orders for endpoints.
    pub orders: Rc<dyn EndpointOrders>,
    /// Usage reports.
    pub usage: Rc<dyn UsageReports>,
}

/// What every controller may use.
#[derive(Clone)]
pub struct ControlContext {
    /// What all threads share.
    pub instance: Arc<Instance>,
    /// The fold. Never hold a borrow across an await.
    pub state: Rc<RefCell<State>>,
    /// The platform.
    pub platform: Platform,
}

/// Looks after one matter.
pub trait Controller: Send {
    /// The name in logs and on the time line.
    fn name(&self) -> &'static str;

    /// Starts on the control thread: spawns an actor or local tasks there and returns at once.
    fn start(self: Box<Self>, context: ControlContext);
}
