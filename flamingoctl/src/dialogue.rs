//! Asks the questions of `questionnaire new` on a terminal and writes the answers as INI.

use std::{
    fmt::Write as _,
    io::{
        BufRead,
        Error,
        ErrorKind,
        Result,
        Write, //
    }, //
};

/// One question about a named thing: its key, what is asked, and the answer if none is given.
struct Question {
    key: &'static str,
    text: &'static str,
    default: &'static str,
}

/// A kind of section, asked for until an empty name is given.
struct Section {
    name: &'static str,
    text: &'static str,
    questions: &'static [Question],
}

const SECTIONS: &[Section] = &[
    Section {
        name: "failure-domain",
        text: "Failure domains, where instances and endpoints run",
        questions: &[Question {
            key: "region",
            text: "its region",
            default: "main",
        }],
    },
    Section {
        name: "organisation",
        text: "Organisations, who send requests and pay for them",
        questions: &[
            Question {
                key: "weight",
                text: "share under load, relative to the others'",
                default: "1",
            },
            Question {
                key: "tokens_per_s",
                text: "most tokens a second, 0 for no limit",
                default: "0",
            },
        ],
    },
    Section {
        name: "service",
        text: "Services, what answers requests",
        questions: &[
            Question {
                key: "kind",
                text: "engine or plain",
                default: "engine",
            },
            Question {
                key: "repeatable",
                text: "may the same call run twice, yes or no",
                default: "no",
            },
            Question {
                key: "open",
                text: "open to all without a key, yes or no",
                default: "no",
            },
            Question {
                key: "firm_floor",
                text: "endpoints that must always be there",
                default: "2",
            },
            Question {
                key: "ceiling",
                text: "most endpoints",
                default: "4",
            },
            Question {
                key: "slots",
                text: "requests that one endpoint runs at once",
                default: "8",
            },
            Question {
                key: "checks_fencing",
                text: "do its endpoints refuse orders with an old fencing number, yes or no",
                default: "no",
            },
        ],
    },
    Section {
        name: "trainer",
        text: "Trainers, who ask for samples",
        questions: &[
            Question {
                key: "organisation",
                text: "the organisation that its samples run under",
                default: "",
            },
            Question {
                key: "service",
                text: "the engine service that it draws from",
                default: "",
            },
            Question {
                key: "weight",
                text: "share of the engines, relative to the other trainers'",
                default: "1",
            },
            Question {
                key: "staleness_bound",
                text: "versions that a sample may be behind at most",
                default: "2",
            },
        ],
    },
];

const TOLERANCES: &[Question] = &[
    Question {
        key: "withdrawal_ms",
        text: "a withdrawn key stops within (ms)",
        default: "5000",
    },
    Question {
        key: "in_force_ms",
        text: "a configuration is in force everywhere within (ms)",
        default: "10000",
    },
    Question {
        key: "request_timeout_ms",
        text: "longest wait of a caller (ms)",
        default: "60000",
    },
    Question {
        key: "usage_window_ms",
        text: "length of a usage window (ms)",
        default: "300000",
    },
    Question {
        key: "store_bytes_per_s",
        text: "bytes a second that the weight store gives",
        default: "1000000000",
    },
];

/// Asks everything and returns the questionnaire's text.
///
/// # Errors
///
/// [`ErrorKind::UnexpectedEof`] when the input ends before the last answer.
pub(crate) fn prompt_all(mut input: impl BufRead, mut output: impl Write) -> Result<String> {
    let mut text = String::new();
    for section in SECTIONS {
        writeln!(output, "\n{}. An empty name ends the list.", section.text)?;
        loop {
            let name = prompt(&mut input, &mut output, "name", "")?;
            if name.is_empty() {
                break;
            }
            let _ = writeln!(text, "[{} {name}]", section.name);
            prompt_section(&mut input, &mut output, section.questions, &mut text)?;
        }
    }
    writeln!(
        output,
        "\nWhat is tolerable. Return keeps the usual answer."
    )?;
    text.push_str("[tolerances]\n");
    prompt_section(&mut input, &mut output, TOLERANCES, &mut text)?;
    Ok(text)
}

fn prompt_section(
    input: &mut impl BufRead,
    output: &mut impl Write,
    questions: &[Question],
    text: &mut String,
) -> Result<()> {
    for question in questions {
        let answer = prompt(input, output, question.text, question.default)?;
        let _ = writeln!(text, "{} = {answer}", question.key);
    }
    text.push('\n');
    Ok(())
}

fn prompt(
    input: &mut impl BufRead,
    output: &mut impl Write,
    question: &str,
    default: &str,
) -> Result<String> {
    if default.is_empty() {
        write!(output, "  {question}: ")?;
    } else {
        write!(output, "  {question} [{default}]: ")?;
    }
    output.flush()?;
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        return Err(Error::new(ErrorKind::UnexpectedEof, "end of input"));
    }
    let answer = line.trim();
    Ok(if answer.is_empty() { default } else { answer }.to_owned())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn answers_make_a_valid_questionnaire() {
        let answers = "west\n\n\nteam\n\n\n\ndrafting\n\n\n\n1\n2\n\n\n\nnotes\nteam\ndrafting\n\n\n\n\n\n\n\n\n";
        let text = prompt_all(answers.as_bytes(), Vec::new()).expect("all questions are answered");
        let configuration = flamingoscale::questionnaire::generate(&text);
        let configuration = configuration.unwrap_or_else(|error| panic!("{error}\n{text}"));
        assert_eq!(configuration.trainers.len(), 1);
        assert_eq!(configuration.services[0].ceiling, 2);
    }

    #[test]
    fn end_of_input_before_the_last_answer_is_an_error() {
        let error = prompt_all("west\n".as_bytes(), Vec::new()).expect_err("answers are missing");
        assert_eq!(error.kind(), ErrorKind::UnexpectedEof);
    }
}
