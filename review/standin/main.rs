//! Runs one case: `case NAME FOLDER`. `TROUBLE=0` leaves the disruption out.

mod cases;
mod clients;
mod net;
mod world;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let name = arguments.next().unwrap_or_default();
    let folder = arguments.next().unwrap_or_else(|| ".".to_owned());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    net::open_record(&format!("{folder}/record.txt"));
    net::say(&format!("case {name}, disruption: {trouble}"));
    std::process::exit(cases::run(&name, trouble));
}
