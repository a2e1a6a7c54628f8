//! Parser of scenario files, which have one statement on each line.

use std::sync::Arc;

use winnow::{
    ascii::{
        dec_uint,
        space1, //
    },
    combinator::{
        alt,
        cut_err,
        fail,
        preceded,
        terminated, //
    },
    error::{
        StrContext,
        StrContextValue, //
    },
    token::take_while,
    ModalResult,
    Parser, //
};

use super::{
    Comparison,
    Expectation,
    Figure,
    Result,
    Scenario,
    ScenarioError, //
};
use crate::{
    demo::{
        FaultPlan,
        Options,
        PlannedFault,
        Target, //
    },
    faults::Fault, //
};

/// Number of nodes if the scenario has no `nodes` line.
const DEFAULT_NODES: usize = 3;

/// Number of steps if the scenario has no `steps` line.
const DEFAULT_STEPS: u64 = 2;

enum Statement {
    Nodes(usize),
    Steps(u64),
    Seed(u64),
    At(PlannedFault),
    Expect(Expectation),
}

/// Parses a scenario.
///
/// # Errors
///
/// Returns [`ScenarioError::Syntax`] for the first line that is not a valid statement.
pub fn parse(text: &str) -> Result<Scenario> {
    let mut options = Options {
        seed: 1,
        faults: true,
        nodes: DEFAULT_NODES,
        steps: DEFAULT_STEPS,
        show_timeline: false,
    };
    let mut planned_faults = Vec::new();
    let mut expectations = Vec::new();
    for (number, line) in text.lines().enumerate() {
        let indent = line.len() - line.trim_start().len();
        let content = line.trim();
        if content.is_empty() || content.starts_with('#') {
            continue;
        }
        match parse_line(content, number + 1, indent)? {
            Statement::Nodes(nodes) => options.nodes = nodes,
            Statement::Steps(steps) => options.steps = steps,
            Statement::Seed(seed) => options.seed = seed,
            Statement::At(fault) => planned_faults.push(fault),
            Statement::Expect(expectation) => expectations.push(expectation),
        }
    }
    Ok(Scenario {
        options,
        plan: FaultPlan::new(planned_faults),
        expectations,
    })
}

fn parse_line(content: &str, line: usize, indent: usize) -> Result<Statement> {
    statement.parse(content).map_err(|error| {
        let expected = error.inner().to_string().replace('\n', "; ");
        let expected = expected.trim_start_matches("expected ").to_owned();
        ScenarioError::Syntax {
            line,
            column: indent + error.offset() + 1,
            expected: if expected.is_empty() {
                "the end of the line".to_owned()
            } else {
                expected
            },
        }
    })
}

fn statement(input: &mut &str) -> ModalResult<Statement> {
    alt((
        preceded(("nodes", space1), cut_err(number)).map(|nodes| Statement::Nodes(nodes as usize)),
        preceded(("steps", space1), cut_err(number)).map(Statement::Steps),
        preceded(("seed", space1), cut_err(number)).map(Statement::Seed),
        preceded(("at", space1), cut_err(planned_fault)).map(Statement::At),
        preceded(("expect", space1), cut_err(expectation)).map(Statement::Expect),
        fail.context(expected("`nodes`, `steps`, `seed`, `at` or `expect`")),
    ))
    .parse_next(input)
}

fn expected(description: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(description))
}

fn number(input: &mut &str) -> ModalResult<u64> {
    dec_uint
        .context(expected("a whole number"))
        .parse_next(input)
}

/// Parses a duration such as `250ms` or `3s` into milliseconds.
fn duration_ms(input: &mut &str) -> ModalResult<u64> {
    let unit = alt(("ms".value(1), "s".value(1_000)));
    (dec_uint::<_, u64, _>, unit)
        .map(|(count, unit_ms): (u64, u64)| count * unit_ms)
        .context(expected("a time, as `250ms` or `3s`"))
        .parse_next(input)
}

fn name(input: &mut &str) -> ModalResult<Arc<str>> {
    take_while(1.., |symbol: char| {
        symbol.is_alphanumeric() || symbol == '-'
    })
    .map(Arc::from)
    .context(expected("a name"))
    .parse_next(input)
}

fn index(input: &mut &str) -> ModalResult<usize> {
    preceded(space1, number)
        .map(|number| number as usize)
        .parse_next(input)
}

fn planned_fault(input: &mut &str) -> ModalResult<PlannedFault> {
    let at_ms = terminated(duration_ms, space1).parse_next(input)?;
    let (target, fault) = alt((
        preceded("node", cut_err(node_fault)),
        preceded("endpoint", cut_err(endpoint_fault)),
        preceded(("domain", space1), cut_err(domain_fault)),
        (terminated(target, space1), cut_err(fault)),
        fail.context(expected(
            "`platform`, `store`, `engine`, `service`, `node`, `endpoint` or `domain`",
        )),
    ))
    .parse_next(input)?;
    Ok(PlannedFault::new(at_ms, target, fault))
}

fn target(input: &mut &str) -> ModalResult<Target> {
    alt((
        "platform".value(Target::Platform),
        "store".value(Target::Store),
        preceded("engine", cut_err(index)).map(Target::Engine),
        preceded("service", cut_err(index)).map(Target::Service),
    ))
    .parse_next(input)
}

fn node_fault(input: &mut &str) -> ModalResult<(Target, Fault)> {
    let node = terminated(index, space1).parse_next(input)?;
    alt((
        "killed".value(Target::Node(node)),
        "drained".value(Target::Drain(node)),
        fail.context(expected("`killed` or `drained`")),
    ))
    .map(|target| (target, Fault::Clear))
    .parse_next(input)
}

fn endpoint_fault(input: &mut &str) -> ModalResult<(Target, Fault)> {
    let endpoint = terminated(index, space1).parse_next(input)?;
    preceded("reclaimed in ", duration_ms)
        .map(|notice_ms| {
            let target = Target::Reclaim {
                endpoint,
                notice_ms,
            };
            (target, Fault::Clear)
        })
        .context(expected("`reclaimed in` and a time"))
        .parse_next(input)
}

fn domain_fault(input: &mut &str) -> ModalResult<(Target, Fault)> {
    (name, preceded(" vanishes in ", duration_ms))
        .map(|(failure_domain, notice_ms)| {
            let fault = Fault::Vanish {
                failure_domain,
                notice_ms,
                cheap_only: false,
            };
            (Target::Platform, fault)
        })
        .context(expected("a failure domain, then `vanishes in` and a time"))
        .parse_next(input)
}

fn fault(input: &mut &str) -> ModalResult<Fault> {
    alt((
        counted_fault,
        timed_fault,
        "loads early".value(Fault::EarlySwaps { early: true }),
        "silences connections".value(Fault::SilenceOpen),
        fail.context(expected(
            "`refuses N`, `loses answers N`, `fails loads N`, `loads late by T`, `loads early`, \
             `slow by T`, `silent for T`, `silences connections`, `crashes for T` or `away for T`",
        )),
    ))
    .parse_next(input)
}

fn counted_fault(input: &mut &str) -> ModalResult<Fault> {
    let count = || cut_err(number).map(|count| count as u32);
    alt((
        preceded("refuses ", count()).map(|count| Fault::Refuse { count }),
        preceded("loses answers ", count()).map(|count| Fault::LoseAnswers { count }),
        preceded("fails loads ", count()).map(|count| Fault::FailSwaps { count }),
    ))
    .parse_next(input)
}

fn timed_fault(input: &mut &str) -> ModalResult<Fault> {
    let duration = || cut_err(duration_ms);
    alt((
        preceded("loads late by ", duration()).map(|delay_ms| Fault::DelaySwaps { delay_ms }),
        preceded("slow by ", duration()).map(|delay_ms| Fault::Delay { delay_ms }),
        preceded("silent for ", duration().map(Some)).map(|for_ms| Fault::Silent { for_ms }),
        preceded("crashes for ", duration().map(Some))
            .map(|back_after_ms| Fault::Crash { back_after_ms }),
        preceded("away for ", duration()).map(|for_ms| Fault::Outage { for_ms }),
    ))
    .parse_next(input)
}

fn expectation(input: &mut &str) -> ModalResult<Expectation> {
    let figure = alt((
        "steps".value(Figure::Steps),
        "samples".value(Figure::Samples),
        "lookups".value(Figure::Lookups),
        "unanswered".value(Figure::Unanswered),
        "windows".value(Figure::Windows),
        fail.context(expected(
            "`steps`, `samples`, `lookups`, `unanswered` or `windows`",
        )),
    ));
    let comparison = alt((
        "is".value(Comparison::Is),
        "at least".value(Comparison::AtLeast),
        "at most".value(Comparison::AtMost),
        fail.context(expected("`is`, `at least` or `at most`")),
    ));
    (
        terminated(figure, space1),
        terminated(comparison, space1),
        number,
    )
        .map(|(figure, comparison, number)| Expectation {
            figure,
            comparison,
            number,
        })
        .parse_next(input)
}
