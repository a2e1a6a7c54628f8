use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use super::*;

/// Virtual time between two ticks of every core.
const STEP_MS: u64 = 100;

fn member(number: usize, incarnation: u64) -> Member {
    Member {
        instance: format!("n{number:03}").into(),
        incarnation,
        failure_domain: format!("d{}", number % 4).into(),
        address: format!("10.0.0.{number}:80").into(),
        peer_address: format!("10.0.0.{number}:7400").into(),
        leaving: false,
        suspect: false,
        revision: 0,
    }
}

/// Membership cores connected by a network without delay, on which pairs can be disconnected.
struct Cluster {
    now_ms: u64,
    cores: BTreeMap<Arc<str>, Membership>,
    addresses: BTreeMap<Arc<str>, Arc<str>>,
    /// Ordered pairs that can't reach each other.
    broken_links: BTreeSet<(Arc<str>, Arc<str>)>,
    /// Time, observer, member and new health of each observed change.
    changes: Vec<(u64, Arc<str>, Arc<str>, Health)>,
}

impl Cluster {
    fn new(count: usize, seed: u64) -> Self {
        let mut cluster = Self {
            now_ms: 0,
            cores: BTreeMap::new(),
            addresses: BTreeMap::new(),
            broken_links: BTreeSet::new(),
            changes: Vec::new(),
        };
        for number in 0..count {
            cluster.start(member(number, 1), seed + number as u64);
        }
        cluster
    }

    /// Starts an instance that knows only the addresses of the first two.
    fn start(&mut self, member: Member, seed: u64) {
        let name = member.instance.clone();
        let address = member.peer_address.clone();
        self.addresses.insert(address, name.clone());
        let mut core = Membership::new(member, Timing::default(), seed);
        core.hint(&"".into(), &"10.0.0.0:7400".into());
        core.hint(&"".into(), &"10.0.0.1:7400".into());
        self.cores.insert(name, core);
    }

    fn crash(&mut self, name: &str) {
        self.cores.remove(name);
    }

    fn partition(&mut self, left: &[Arc<str>], right: &[Arc<str>]) {
        for a in left {
            for b in right {
                self.broken_links.insert((a.clone(), b.clone()));
                self.broken_links.insert((b.clone(), a.clone()));
            }
        }
    }

    fn run(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            let names: Vec<Arc<str>> = self.cores.keys().cloned().collect();
            for name in names {
                let now_ms = self.now_ms;
                let core = self.cores.get_mut(&name).expect("the instance is running");
                let actions = core.tick(now_ms);
                self.perform(&name, actions);
            }
        }
    }

    fn perform(&mut self, name: &Arc<str>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send {
                    probe,
                    peer_address,
                    message,
                    ..
                } => {
                    let answer = self.deliver(name, &peer_address, message);
                    let now_ms = self.now_ms;
                    let core = self.cores.get_mut(name).expect("the instance is running");
                    let actions = core.on_answer(now_ms, probe, answer);
                    self.perform(name, actions);
                }
                Action::HealthChanged { instance, health } => {
                    let change = (self.now_ms, name.clone(), instance, health);
                    self.changes.push(change);
                }
                Action::Publish(_) => {}
            }
        }
    }

    fn deliver(&mut self, from: &Arc<str>, address: &str, message: Message) -> Option<Message> {
        let to = self.addresses.get(address)?.clone();
        if self.broken_links.contains(&(from.clone(), to.clone())) || !self.cores.contains_key(&to)
        {
            return None;
        }
        if let Message::ProbeRequest { target } = message {
            let probe = self.cores.get_mut(&to)?.probe_message(&target.instance);
            let answer = self.deliver(&to, &target.peer_address, probe);
            return Some(answer.unwrap_or(Message::NoAnswer));
        }
        let now_ms = self.now_ms;
        let (answer, actions) = self.cores.get_mut(&to)?.receive(now_ms, message);
        self.perform(&to, actions);
        answer
    }

    fn health(&self, member: &str, observer: &str) -> Option<Health> {
        self.cores[observer].health(member)
    }

    /// Returns whether every running instance sees `count` live members.
    fn all_see_members(&self, count: usize) -> bool {
        let mut cores = self.cores.values();
        cores.all(|core| core.members().len() == count)
    }

    fn count_changes(&self, health: Health) -> usize {
        let changes = self.changes.iter();
        changes.filter(|change| change.3 == health).count()
    }
}

#[test]
fn members_discover_each_other_without_false_suspicion() {
    let mut cluster = Cluster::new(12, 1);
    cluster.run(15_000);
    assert!(cluster.all_see_members(12));
    cluster.run(60_000);
    assert_eq!(cluster.count_changes(Health::Suspect), 0);
}

#[test]
fn crash_is_detected_by_all_members() {
    let mut cluster = Cluster::new(12, 2);
    cluster.run(20_000);
    cluster.crash("n005");
    cluster.run(30_000);
    assert!(cluster.all_see_members(11));
    assert!(cluster
        .cores
        .values()
        .all(|core| core.health("n005") == Some(Health::Dead)));
}

#[test]
fn indirect_probes_cover_a_broken_link() {
    let mut cluster = Cluster::new(12, 3);
    cluster.run(20_000);
    cluster.partition(&["n002".into()], &["n003".into()]);
    cluster.run(60_000);
    assert_eq!(cluster.count_changes(Health::Suspect), 0);
}

#[test]
fn suspect_refutes_the_suspicion() {
    let mut cluster = Cluster::new(12, 4);
    cluster.run(20_000);
    let others: Vec<Arc<str>> = cluster
        .cores
        .keys()
        .filter(|name| &***name != "n004")
        .cloned()
        .collect();
    cluster.partition(&["n004".into()], &others);
    cluster.run(2_500);
    assert!(cluster.count_changes(Health::Suspect) > 0);
    cluster.broken_links.clear();
    cluster.run(20_000);
    assert_eq!(cluster.count_changes(Health::Dead), 0);
    assert!(cluster.all_see_members(12));
    assert_eq!(cluster.health("n004", "n000"), Some(Health::Alive));
}

#[test]
fn membership_recovers_from_a_partition() {
    let mut cluster = Cluster::new(12, 5);
    cluster.run(20_000);
    let names: Vec<Arc<str>> = cluster.cores.keys().cloned().collect();
    cluster.partition(&names[..5], &names[5..]);
    cluster.run(60_000);
    assert_eq!(cluster.cores["n000"].members().len(), 5);
    assert_eq!(cluster.cores["n011"].members().len(), 7);
    cluster.broken_links.clear();
    cluster.changes.clear();
    cluster.run(120_000);
    assert!(cluster.all_see_members(12));
    // Healing the partition declared no member dead or suspect, not even briefly.
    assert_eq!(cluster.count_changes(Health::Dead), 0);
    assert_eq!(cluster.count_changes(Health::Suspect), 0);
}

#[test]
fn new_incarnation_replaces_old_one_on_all_members() {
    let mut cluster = Cluster::new(12, 6);
    cluster.run(20_000);
    cluster.crash("n007");
    cluster.start(member(7, 2), 99);
    cluster.run(30_000);
    assert!(cluster.all_see_members(12));
    for core in cluster.cores.values() {
        let members = core.members();
        let restarted = members.iter().find(|member| &*member.instance == "n007");
        assert_eq!(restarted.map(|member| member.incarnation), Some(2));
    }
}

#[test]
fn leaving_member_is_published_and_then_removed() {
    let mut cluster = Cluster::new(12, 7);
    cluster.run(20_000);
    cluster
        .cores
        .get_mut("n003")
        .expect("the instance is running")
        .leave();
    cluster.run(15_000);
    for core in cluster.cores.values() {
        let members = core.members();
        let leaving = members.iter().find(|member| &*member.instance == "n003");
        assert_eq!(leaving.map(|member| member.leaving), Some(true));
    }
    cluster.crash("n003");
    cluster.run(30_000);
    assert!(cluster.all_see_members(11));
}

/// The membership benchmark runs the same scenario with more instances.
#[test]
fn crash_among_100_members_is_detected_by_all() {
    let mut cluster = Cluster::new(100, 8);
    cluster.run(40_000);
    assert!(cluster.all_see_members(100));
    cluster.crash("n050");
    cluster.run(30_000);
    assert!(cluster.all_see_members(99));
    assert_eq!(cluster.count_changes(Health::Dead), 99);
}

#[test]
fn updates_per_message_are_bounded() {
    let mut core = Membership::new(member(0, 1), Timing::default(), 1);
    let others: Vec<Update> = (1..400)
        .map(|number| Update {
            member: member(number, 1),
            health: Health::Alive,
            refutation: 0,
        })
        .collect();
    let exchange = Message::Exchange {
        sender: member(1, 1),
        members: others,
    };
    core.receive(0, exchange);
    for _ in 0..100 {
        let Message::Probe { gossip, .. } = core.probe_message("n001") else {
            panic!("probe_message returned another message");
        };
        assert!(gossip.len() <= gossip::UPDATES_PER_MESSAGE);
    }
}
