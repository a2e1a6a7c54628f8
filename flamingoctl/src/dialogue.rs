//! Interactive prompts of `questionnaire new`, which turn the answers into INI text.

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

/// A prompt for one key of a section, with the value that an empty answer stands for.
struct Question {
    key: &'static str,
    prompt: &'static str,
    default: &'static str,
}

/// A kind of section. Its prompts repeat, one section at a time, until the operator enters an empty
/// name.
struct Section {
    name: &'static str,
    title: &'static str,
    questions: &'static [Question],
}

const SECTIONS: &[Section] = &[
    Section {
        name: "failure-domain",
        title: "Failure domains, where instances and endpoints run",
        questions: &[Question {
            key: "region",
            prompt: "region",
            default: "main",
        }],
    },
    Section {
        name: "organisation",
        title: "Organisations, which send requests and pay for them",
        questions: &[
            Question {
                key: "weight",
                prompt: "relative share under load",
                default: "1",
            },
            Question {
                key: "tokens_per_s",
                prompt: "maximum tokens per second, 0 for no limit",
                default: "0",
            },
        ],
    },
    Section {
        name: "service",
        title: "Services, which answer requests",
        questions: &[
            Question {
                key: "kind",
                prompt: "kind of service, engine or plain",
                default: "engine",
            },
            Question {
                key: "repeatable",
                prompt: "whether the same call may run twice, yes or no",
                default: "no",
            },
            Question {
                key: "open",
                prompt: "whether requests without a key are accepted, yes or no",
                default: "no",
            },
            Question {
                key: "firm_floor",
                prompt: "minimum number of endpoints that must always run",
                default: "2",
            },
            Question {
                key: "ceiling",
                prompt: "maximum number of endpoints",
                default: "4",
            },
            Question {
                key: "slots",
                prompt: "concurrent requests per endpoint",
                default: "8",
            },
            Question {
                key: "checks_fencing",
                prompt:
                    "whether its endpoints refuse orders with a stale fencing number, yes or no",
                default: "no",
            },
        ],
    },
    Section {
        name: "trainer",
        title: "Trainers, which request samples",
        questions: &[
            Question {
                key: "organisation",
                prompt: "organisation that its samples run under",
                default: "",
            },
            Question {
                key: "service",
                prompt: "engine service that generates its samples",
                default: "",
            },
            Question {
                key: "weight",
                prompt: "relative share of the engines",
                default: "1",
            },
            Question {
                key: "staleness_bound",
                prompt: "maximum number of weight versions that a sample may be behind",
                default: "2",
            },
        ],
    },
];

const TOLERANCES: &[Question] = &[
    Question {
        key: "withdrawal_ms",
        prompt: "time until a withdrawn key stops working everywhere (ms)",
        default: "5000",
    },
    Question {
        key: "in_force_ms",
        prompt: "time until a configuration is in force everywhere (ms)",
        default: "10000",
    },
    Question {
        key: "request_timeout_ms",
        prompt: "request timeout (ms)",
        default: "60000",
    },
    Question {
        key: "usage_window_ms",
        prompt: "length of a usage window (ms)",
        default: "300000",
    },
    Question {
        key: "store_bytes_per_s",
        prompt: "bandwidth of the weight store (bytes per second)",
        default: "1000000000",
    },
];

/// Prompts for all sections on `output`, reads one answer per line from `input` and returns the
/// questionnaire as INI text.
///
/// # Errors
///
/// Returns [`ErrorKind::UnexpectedEof`] when the input ends before the last answer.
pub(crate) fn prompt_all(mut input: impl BufRead, mut output: impl Write) -> Result<String> {
    let mut text = String::new();
    for section in SECTIONS {
        writeln!(output, "\n{}. An empty name ends the list.", section.title)?;
        loop {
            let name = prompt(&mut input, &mut output, "name", "")?;
            if name.is_empty() {
                break;
            }
            let _ = writeln!(text, "[{} {name}]", section.name);
            prompt_section(&mut input, &mut output, section.questions, &mut text)?;
        }
    }
    writeln!(output, "\nTolerances. Press Return to accept the default.")?;
    text.push_str("[tolerances]\n");
    prompt_section(&mut input, &mut output, TOLERANCES, &mut text)?;
    Ok(text)
}

/// Prompts for each key of a section and appends the answers to `text`.
fn prompt_section(
    input: &mut impl BufRead,
    output: &mut impl Write,
    questions: &[Question],
    text: &mut String,
) -> Result<()> {
    for question in questions {
        let answer = prompt(input, output, question.prompt, question.default)?;
        let _ = writeln!(text, "{} = {answer}", question.key);
    }
    text.push('\n');
    Ok(())
}

/// Prompts for one value and reads a line. An empty line stands for the default.
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
