//! Makes engines load new weights. Each instance handles the engines whose home it is; see
//! [`crate::home`].

use std::{
    cell::RefCell,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use actix_rt::time::interval;
use tokio::time::MissedTickBehavior;

use crate::{
    controller::{
        ControlContext,
        Controller, //
    },
    engine::{
        http::HttpEngineControl,
        EngineControl, //
    },
    home::Homes,
    instance::Instance,
    rollout::newest_weights,
    view::{
        EndpointKey,
        View, //
    },
    wire::EndpointPhase, //
};

mod schedule;

use schedule::{
    Action,
    EngineState,
    Schedule,
    TargetWeights, //
};

/// Interval between two updates of the schedule, in milliseconds.
const TICK_MS: u64 = 100;

/// Orders the engines whose home is this instance to load the newest weights of their service.
pub struct WeightsController {
    instance: Arc<Instance>,
    homes: Arc<dyn Homes>,
}

impl WeightsController {
    /// Creates a controller for the engines that `homes` assigns to this instance.
    pub fn new(instance: Arc<Instance>, homes: Arc<dyn Homes>) -> Self {
        Self { instance, homes }
    }
}

impl Controller for WeightsController {
    fn name(&self) -> &'static str {
        "weights"
    }

    fn start(self: Box<Self>, _context: ControlContext) {
        let driver = Rc::new(Driver {
            instance: self.instance,
            homes: self.homes,
            engines: Rc::new(HttpEngineControl),
            schedule: RefCell::default(),
        });
        actix_rt::spawn(driver.run());
    }
}

/// Feeds events into the schedule and executes its actions.
struct Driver {
    instance: Arc<Instance>,
    homes: Arc<dyn Homes>,
    engines: Rc<dyn EngineControl>,
    schedule: RefCell<Schedule>,
}

impl Driver {
    async fn run(self: Rc<Self>) {
        let mut ticks = interval(Duration::from_millis(TICK_MS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.tick();
        }
    }

    fn tick(self: &Rc<Self>) {
        let view = self.instance.view.load();
        let engines: Vec<EngineState> = self
            .homes
            .at_home()
            .into_iter()
            .filter_map(|key| self.engine_state(&view, key))
            .collect();
        self.apply(|schedule, now_ms| {
            schedule.set_store_rate(view.configuration.tolerances.store_bytes_per_s);
            for trainer in &view.configuration.trainers {
                if let Some(target) = self.target_weights(&view, &trainer.service) {
                    schedule.set_target(&trainer.service, target, now_ms);
                }
            }
            schedule.tick(&engines, now_ms);
        });
    }

    /// Returns the state of an engine, or `None` if the engine is unknown or no trainer publishes
    /// weights for its service.
    fn engine_state(&self, view: &View, key: EndpointKey) -> Option<EngineState> {
        let endpoint = &view.endpoints.endpoints.get(&key)?.platform;
        let service = &endpoint.service;
        let is_trained = |trainer: &crate::configuration::Trainer| trainer.service == *service;
        if !view.configuration.trainers.iter().any(is_trained) {
            return None;
        }
        let of_service = view.endpoints.by_service.get(service)?;
        let rank = of_service.iter().position(|other| *other == key)?;
        let facts = self.homes.status(key)?;
        Some(EngineState {
            key,
            service: service.clone(),
            rank: rank as u32,
            engines: of_service.len() as u32,
            version: facts.version,
            in_flight: facts.in_flight,
            reachable: facts.reachable,
            leaving: facts.leaving_in_ms.is_some() || endpoint.phase == EndpointPhase::Leaving,
        })
    }

    /// Returns the newest weights of a service, with the address to load them from.
    fn target_weights(&self, view: &View, service: &str) -> Option<TargetWeights> {
        let weights = newest_weights(view, service)?;
        let store = self.instance.settings.weight_store;
        let (trainer, version) = (weights.trainer, weights.newest.version);
        let url = format!("http://{store}/trainers/{trainer}/versions/{version}");
        Some(TargetWeights {
            trainer,
            version,
            bytes: weights.newest.bytes,
            fencing: weights.newest.offset.max(view.revision),
            url: url.into(),
        })
    }

    /// Updates the schedule and executes the resulting actions.
    fn apply(self: &Rc<Self>, update: impl FnOnce(&mut Schedule, u64)) {
        let now_ms = self.instance.now_ms();
        let mut schedule = self.schedule.borrow_mut();
        update(&mut schedule, now_ms);
        let actions = schedule.take_actions();
        drop(schedule);
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::Hold(key) => self.homes.set_paused(key, true),
            Action::Resume(key) => self.homes.set_paused(key, false),
            Action::Record(kind, key, value) => self.record(kind, key, value),
            Action::Load(key, target) => {
                actix_rt::spawn(self.clone().load(key, target));
            }
            Action::ReadStatus(key) => {
                actix_rt::spawn(self.clone().read_status(key));
            }
        }
    }

    async fn load(self: Rc<Self>, key: EndpointKey, target: TargetWeights) {
        let Some(address) = self.address(key) else {
            return;
        };
        let result = self.engines.order(&address, target.order()).await;
        self.apply(|schedule, now_ms| schedule.on_order_result(key, result, now_ms));
    }

    async fn read_status(self: Rc<Self>, key: EndpointKey) {
        let Some(address) = self.address(key) else {
            return;
        };
        let status = self.engines.status(&address).await.ok();
        self.apply(|schedule, now_ms| schedule.on_status(key, status.as_ref(), now_ms));
    }

    fn address(&self, key: EndpointKey) -> Option<Arc<str>> {
        let view = self.instance.view.load();
        let endpoint = view.endpoints.endpoints.get(&key)?;
        Some(endpoint.platform.address.clone())
    }

    fn record(&self, kind: &str, key: EndpointKey, value: u64) {
        let view = self.instance.view.load();
        let endpoint = view.endpoints.endpoints.get(&key);
        let name = endpoint.map_or("", |endpoint| &endpoint.platform.endpoint);
        self.instance
            .timeline
            .record(kind, name, &[("value", &value)]);
        self.instance.metrics.count(kind);
    }
}
