//! Brings new weights to the engines at home.

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
    EngineFacts,
    Schedule,
    Wanted, //
};

/// Time between two looks at what is due.
const TICK_MS: u64 = 100;

/// Orders the engines at home to load the newest weights of their service.
pub struct WeightsController {
    instance: Arc<Instance>,
    homes: Arc<dyn Homes>,
}

impl WeightsController {
    /// A controller for the engines that `homes` says are at home here.
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

/// Carries events to the schedule and its actions out.
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
        let facts: Vec<EngineFacts> = self
            .homes
            .at_home()
            .into_iter()
            .filter_map(|key| self.facts(&view, key))
            .collect();
        self.event(|schedule, now_ms| {
            schedule.set_store_rate(view.configuration.tolerances.store_bytes_per_s);
            for trainer in &view.configuration.trainers {
                if let Some(wanted) = self.wanted(&view, &trainer.service) {
                    schedule.want(&trainer.service, wanted, now_ms);
                }
            }
            schedule.tick(&facts, now_ms);
        });
    }

    fn facts(&self, view: &View, key: EndpointKey) -> Option<EngineFacts> {
        let endpoint = &view.endpoints.endpoints.get(&key)?.platform;
        let service = &endpoint.service;
        let trains = |trainer: &crate::configuration::Trainer| trainer.service == *service;
        if !view.configuration.trainers.iter().any(trains) {
            return None;
        }
        let of_service = view.endpoints.by_service.get(service)?;
        let rank = of_service.iter().position(|other| *other == key)?;
        let known = self.homes.facts(key)?;
        Some(EngineFacts {
            key,
            service: service.clone(),
            rank: rank as u32,
            engines: of_service.len() as u32,
            version: known.version,
            in_flight: known.in_flight,
            reachable: known.reachable,
            leaving: known.leaving_in_ms.is_some() || endpoint.phase == EndpointPhase::Leaving,
        })
    }

    fn wanted(&self, view: &View, service: &str) -> Option<Wanted> {
        let weights = newest_weights(view, service)?;
        let store = self.instance.settings.weight_store;
        let (trainer, version) = (weights.trainer, weights.newest.version);
        let url = format!("http://{store}/trainers/{trainer}/versions/{version}");
        Some(Wanted {
            trainer,
            version,
            bytes: weights.newest.bytes,
            fencing: weights.newest.offset.max(view.revision),
            url: url.into(),
        })
    }

    fn event(self: &Rc<Self>, event: impl FnOnce(&mut Schedule, u64)) {
        let now_ms = self.instance.now_ms();
        let mut schedule = self.schedule.borrow_mut();
        event(&mut schedule, now_ms);
        let actions = schedule.take_actions();
        drop(schedule);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(self: &Rc<Self>, action: Action) {
        match action {
            Action::Hold(key) => self.homes.hold(key, true),
            Action::Resume(key) => self.homes.hold(key, false),
            Action::Note(kind, key, value) => self.note(kind, key, value),
            Action::Load(key, wanted) => {
                actix_rt::spawn(self.clone().load(key, wanted));
            }
            Action::Read(key) => {
                actix_rt::spawn(self.clone().read(key));
            }
        }
    }

    async fn load(self: Rc<Self>, key: EndpointKey, wanted: Wanted) {
        let Some(address) = self.address(key) else {
            return;
        };
        let result = self.engines.order(&address, wanted.order()).await;
        self.event(|schedule, now_ms| schedule.ordered(key, result, now_ms));
    }

    async fn read(self: Rc<Self>, key: EndpointKey) {
        let Some(address) = self.address(key) else {
            return;
        };
        let status = self.engines.status(&address).await.ok();
        self.event(|schedule, now_ms| schedule.read(key, status.as_ref(), now_ms));
    }

    fn address(&self, key: EndpointKey) -> Option<Arc<str>> {
        let view = self.instance.view.load();
        let endpoint = view.endpoints.endpoints.get(&key)?;
        Some(endpoint.platform.address.clone())
    }

    fn note(&self, kind: &str, key: EndpointKey, value: u64) {
        let view = self.instance.view.load();
        let endpoint = view.endpoints.endpoints.get(&key);
        let name = endpoint.map_or("", |endpoint| &endpoint.platform.endpoint);
        self.instance
            .timeline
            .record(kind, name, &[("value", &value)]);
        self.instance.metrics.count(kind);
    }
}
