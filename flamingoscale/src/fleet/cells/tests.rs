//! Tests that cells are small, cover all instances and keep failure domains together.

use std::collections::{
    HashMap,
    HashSet, //
};

use super::*;
use crate::fleet::{
    fixtures::heartbeat,
    record::Record, //
};

const DOMAINS: [&str; 6] = ["habib", "hamra", "misfat", "nizwa", "saiq", "shams"];

/// Returns a ledger with members that are spread evenly over the failure domains.
fn fleet(instances: usize) -> (Ledger, Vec<(String, &'static str)>) {
    let mut ledger = Ledger::default();
    let mut members = Vec::new();
    for number in 0..instances {
        let domain = DOMAINS[number % DOMAINS.len()];
        let name = format!("{domain}-{number}");
        let Record::Heartbeat(mut member) = heartbeat(&name, 1) else {
            unreachable!()
        };
        member.failure_domain = domain.into();
        ledger.apply(number as u64, Record::Heartbeat(member), 0);
        members.push((name, domain));
    }
    (ledger, members)
}

#[test]
fn small_fleet_has_one_cell() {
    let (ledger, members) = fleet(MAX_CELL_INSTANCES);
    for (name, domain) in &members {
        assert_eq!(Cell::of(&ledger, name, domain), Cell::default());
    }
    assert_eq!(Cell::of(&Ledger::default(), "n1", "saiq"), Cell::default());
}

#[test]
fn cells_of_a_large_fleet_are_small_and_near() {
    for instances in [84, 295, 600] {
        let (ledger, members) = fleet(instances);
        let mut cells: HashMap<u32, Vec<&str>> = HashMap::new();
        for (name, domain) in &members {
            let cell = Cell::of(&ledger, name, domain);
            assert_eq!(cell.count as usize, instances.div_ceil(MAX_CELL_INSTANCES));
            cells.entry(cell.index).or_default().push(domain);
        }
        for domains in cells.values() {
            assert!(domains.len() > 8 && domains.len() <= 2 * MAX_CELL_INSTANCES);
            let domains: HashSet<_> = domains.iter().collect();
            let shared = DOMAINS
                .len()
                .div_ceil(instances.div_ceil(MAX_CELL_INSTANCES));
            assert!(domains.len() <= shared + 1, "{domains:?}");
        }
    }
}

#[test]
fn cells_have_different_ranks_for_a_lease() {
    let ranks: HashSet<usize> = (0..5)
        .map(|index| Cell { index, count: 5 }.rank("run/notes"))
        .collect();
    assert_eq!(ranks, (0..5).collect());
    assert_eq!(Cell::default().rank("control"), 0);
}
