//! Parser of the scenario language.

use std::path::Path;
use std::time::Duration;

use hemlockfall_core::units::duration_ms;
use winnow::ModalResult;
use winnow::Parser;
use winnow::ascii::dec_uint;
use winnow::ascii::space0;
use winnow::ascii::space1;
use winnow::combinator::alt;
use winnow::combinator::cut_err;
use winnow::combinator::delimited;
use winnow::combinator::eof;
use winnow::combinator::fail;
use winnow::combinator::opt;
use winnow::combinator::preceded;
use winnow::combinator::repeat;
use winnow::combinator::terminated;
use winnow::error::ContextError;
use winnow::error::ErrMode;
use winnow::error::StrContext;
use winnow::error::StrContextValue;
use winnow::token::take_till;
use winnow::token::take_while;

use crate::caller::KeyMode;
use crate::errors::Error;
use crate::errors::Result;
use crate::harness::StoreLimits;
use crate::harness::target::TargetSpec;
use crate::scenario::model::Edit;
use crate::scenario::model::EditOutcome;
use crate::scenario::model::Lifecycle;
use crate::scenario::model::Line;
use crate::scenario::model::NumberedStep;
use crate::scenario::model::Scenario;
use crate::scenario::model::SendOptions;
use crate::scenario::model::SendStep;
use crate::scenario::model::Step;
use crate::scenario::moves;

mod expect;
mod faults;

const DEFAULT_SEED: u64 = 1;
const VERBS: &str = "a step (seed, long, start, settings, apply, race, send, wait, pause, kill, stop, restart, \
     freeze, leave, bytes, store, target, move or expect)";

/// Reads and parses a scenario file.
///
/// # Errors
/// [`Error::Resource`] if the file cannot be read, [`Error::Scenario`] for a syntax error.
pub fn read(file: &Path) -> Result<Scenario> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| Error::resource(file.display().to_string(), error))?;
    parse(file, &text)
}

/// Parses the text of a scenario; `file` is used in error messages and to locate other files.
///
/// # Errors
/// [`Error::Scenario`] with the file, the line and what was expected there.
pub fn parse(file: &Path, text: &str) -> Result<Scenario> {
    let mut scenario = Scenario {
        file: file.to_owned(),
        seed: DEFAULT_SEED,
        long: false,
        steps: Vec::new(),
    };
    for (index, full) in text.lines().enumerate() {
        let content = without_comment(full).trim();
        if content.is_empty() {
            continue;
        }
        match parse_line(content) {
            Ok(Line::Seed(seed)) => scenario.seed = seed,
            Ok(Line::Long) => scenario.long = true,
            Ok(Line::Step(step)) => scenario.steps.push(NumberedStep {
                line: index + 1,
                text: content.to_owned(),
                step,
            }),
            Err(expected) => {
                return Err(Error::Scenario {
                    file: file.display().to_string(),
                    line: index + 1,
                    expected,
                });
            }
        }
    }
    Ok(scenario)
}

/// Parses one line without its comment.
///
/// # Errors
/// A message with what was expected and what was found.
pub fn parse_line(content: &str) -> std::result::Result<Line, String> {
    let end = described(eof.void(), "the end of the line or an option of this step");
    terminated(line, cut_err(end))
        .parse(content)
        .map_err(|error| {
            let rest = &content[error.offset()..];
            let found = if rest.is_empty() {
                "the end of the line"
            } else {
                rest
            };
            format!("{}, found `{found}`", expected(error.inner()))
        })
}

fn expected(error: &ContextError) -> String {
    let values: Vec<String> = error
        .context()
        .filter_map(|context| match context {
            StrContext::Expected(value) => Some(value.to_string()),
            _ => None,
        })
        .collect();
    if values.is_empty() {
        return VERBS.to_owned();
    }
    values.join(" or ")
}

/// Removes the comment of a line. A `#` inside quotes does not start a comment.
fn without_comment(line: &str) -> &str {
    let mut quoted = false;
    for (index, character) in line.char_indices() {
        match character {
            '"' => quoted = !quoted,
            '#' if !quoted => return &line[..index],
            _ => {}
        }
    }
    line
}

type Failure = ErrMode<ContextError>;

/// Replaces the expectations of a failed parser by one description and resets the input. Errors
/// after a matched keyword are cut errors and keep their own, more specific description.
pub(super) fn described<'a, O>(
    mut parser: impl Parser<&'a str, O, Failure>,
    what: &'static str,
) -> impl Parser<&'a str, O, Failure> {
    move |input: &mut &'a str| {
        let start = *input;
        parser.parse_next(input).map_err(|failure| match failure {
            ErrMode::Backtrack(_) => {
                *input = start;
                let mut described = ContextError::new();
                described.push(StrContext::Expected(StrContextValue::Description(what)));
                ErrMode::Backtrack(described)
            }
            other => other,
        })
    }
}

fn separator(input: &mut &str) -> ModalResult<()> {
    alt((space1.void(), eof.void())).parse_next(input)
}

pub(super) fn keyword<'a>(text: &'static str) -> impl Parser<&'a str, (), Failure> {
    (text, separator)
        .void()
        .context(StrContext::Expected(StrContextValue::StringLiteral(text)))
}

/// Parses a keyword and the value that must follow it.
pub(super) fn after<'a, O>(
    text: &'static str,
    value: impl Parser<&'a str, O, Failure>,
) -> impl Parser<&'a str, O, Failure> {
    preceded(keyword(text), cut_err(value))
}

pub(super) fn name(input: &mut &str) -> ModalResult<String> {
    let word = take_while(1.., |c: char| !c.is_whitespace() && c != '"').map(str::to_owned);
    described(terminated(word, separator), "a name").parse_next(input)
}

pub(super) fn quoted(input: &mut &str) -> ModalResult<String> {
    let text = delimited('"', take_till(0.., '"'), '"').map(str::to_owned);
    described(terminated(text, separator), "a text in quotes").parse_next(input)
}

fn number(input: &mut &str) -> ModalResult<u64> {
    described(terminated(dec_uint, separator), "a whole number").parse_next(input)
}

pub(super) fn count(input: &mut &str) -> ModalResult<usize> {
    described(number.try_map(usize::try_from), "a whole number").parse_next(input)
}

pub(super) fn duration(input: &mut &str) -> ModalResult<Duration> {
    let unit = alt(("ms".value(1), "s".value(1_000)));
    let time = (dec_uint::<_, u64, _>, space0, unit)
        .verify_map(|(value, _, unit_ms): (u64, _, u64)| value.checked_mul(unit_ms))
        .map(Duration::from_millis);
    described(
        terminated(time, separator),
        "a time such as `3 s` or `250 ms`",
    )
    .parse_next(input)
}

fn names(list: &str) -> Vec<String> {
    list.split(',').map(str::to_owned).collect()
}

fn per_s(input: &mut &str) -> ModalResult<u64> {
    terminated(number, keyword("per s")).parse_next(input)
}

fn line(input: &mut &str) -> ModalResult<Line> {
    let whole = *input;
    let verb = described(name, VERBS).parse_next(input)?;
    match verb.as_str() {
        "seed" => cut_err(number).map(Line::Seed).parse_next(input),
        "long" => Ok(Line::Long),
        "start" => cut_err(start).map(Line::Step).parse_next(input),
        "apply" => cut_err(apply).map(Line::Step).parse_next(input),
        "race" => cut_err(race).map(Line::Step).parse_next(input),
        "send" => cut_err(send).map(Line::Step).parse_next(input),
        "wait" => cut_err(wait).map(Line::Step).parse_next(input),
        "kill" => cut_err(kill).map(Line::Step).parse_next(input),
        "stop" => cut_err(name)
            .map(|name| Line::Step(Step::Lifecycle(Lifecycle::Stop(name))))
            .parse_next(input),
        "restart" => cut_err(restart).map(Line::Step).parse_next(input),
        "freeze" => cut_err(freeze).map(Line::Step).parse_next(input),
        "settings" => cut_err((name, quoted))
            .map(|(section, line)| Line::Step(Step::Setting { section, line }))
            .parse_next(input),
        "pause" => cut_err(duration)
            .map(|time| Line::Step(Step::Pause(time)))
            .parse_next(input),
        "leave" => cut_err(name)
            .map(|name| Line::Step(Step::Deregister(name)))
            .parse_next(input),
        "bytes" => cut_err(faults::bytes).map(Line::Step).parse_next(input),
        "store" => cut_err(faults::store).map(Line::Step).parse_next(input),
        "target" => cut_err(faults::target).map(Line::Step).parse_next(input),
        "move" => cut_err(moves::step)
            .map(|step| Line::Step(Step::Move(step)))
            .parse_next(input),
        "expect" => cut_err(expect::expect).map(Line::Step).parse_next(input),
        _ => {
            // Resets the input so that the error message shows the verb as what was found.
            *input = whole;
            described(fail, VERBS).parse_next(input)
        }
    }
}

fn start(input: &mut &str) -> ModalResult<Step> {
    described(
        alt((
            after("store", start_store),
            after("node", start_node),
            after("target", start_target),
        )),
        "`store`, `node` or `target`",
    )
    .parse_next(input)
}

fn start_store(input: &mut &str) -> ModalResult<Step> {
    let mut limits = StoreLimits::default();
    let rate = || per_s.try_map(u32::try_from);
    if let Some(writes_per_s) = opt(after("writes", rate())).parse_next(input)? {
        limits.writes_per_s = writes_per_s;
    }
    if let Some(reads_per_s) = opt(after("reads", rate())).parse_next(input)? {
        limits.reads_per_s = reads_per_s;
    }
    Ok(Step::StartStore(limits))
}

fn start_node(input: &mut &str) -> ModalResult<Step> {
    (name, after("region", name), after("data-centre", name))
        .map(|(name, region, data_centre)| Step::StartNode {
            name,
            region,
            data_centre,
        })
        .parse_next(input)
}

enum TargetOption {
    Slots(u16),
    ServiceTime(Duration),
    Cold(Duration),
    CrashMarker(String),
}

fn start_target(input: &mut &str) -> ModalResult<Step> {
    let (name, node, service, version) = (
        name,
        after("at", name),
        after("service", name),
        after("version", name),
    )
        .parse_next(input)?;
    let options: Vec<TargetOption> = repeat(0.., target_option).parse_next(input)?;
    let mut spec = TargetSpec::new(&name, Some(&node), &service, &version);
    for option in options {
        match option {
            TargetOption::Slots(slots) => spec.slots = slots,
            TargetOption::ServiceTime(time) => spec.service_time_ms = duration_ms(time),
            TargetOption::Cold(time) => spec.cold_ms = duration_ms(time),
            TargetOption::CrashMarker(marker) => spec.crash_marker = Some(marker),
        }
    }
    Ok(Step::StartTarget(spec))
}

fn target_option(input: &mut &str) -> ModalResult<TargetOption> {
    let slots = described(number.try_map(u16::try_from), "a number of slots");
    alt((
        after("slots", slots).map(TargetOption::Slots),
        after("service-time", duration).map(TargetOption::ServiceTime),
        after("cold", duration).map(TargetOption::Cold),
        after("crash-marker", quoted).map(TargetOption::CrashMarker),
    ))
    .parse_next(input)
}

fn edit(input: &mut &str) -> ModalResult<Edit> {
    (quoted, opt(after("through", name)))
        .map(|(file, through)| Edit { file, through })
        .parse_next(input)
}

fn apply(input: &mut &str) -> ModalResult<Step> {
    let refused = after("refused", opt(after("with", quoted))).map(EditOutcome::Refused);
    let outcome = alt((refused, keyword("unknown").value(EditOutcome::Unknown)));
    let outcome = opt(after(
        "expect",
        described(outcome, "`refused` or `unknown`"),
    ));
    (after("catalogue", edit), outcome)
        .map(|(edit, outcome)| Step::Apply {
            edit,
            outcome: outcome.unwrap_or(EditOutcome::Accepted),
        })
        .parse_next(input)
}

fn race(input: &mut &str) -> ModalResult<Step> {
    (after("catalogue", edit), after("with", edit))
        .map(|(first, second)| Step::Race(first, second))
        .parse_next(input)
}

fn key_mode(input: &mut &str) -> ModalResult<KeyMode> {
    let mode = alt((
        keyword("unique").value(KeyMode::Unique),
        keyword("once").value(KeyMode::Once),
        keyword("none").value(KeyMode::None),
    ));
    described(mode, "`unique`, `once` or `none`").parse_next(input)
}

fn send(input: &mut &str) -> ModalResult<Step> {
    let (count, (), service, path, through, key) = (
        count,
        keyword("requests"),
        after("to", name),
        after("path", name),
        after("through", name),
        after("key", key_mode),
    )
        .parse_next(input)?;
    let setters: Vec<SendOption> = repeat(0.., send_option).parse_next(input)?;
    let mut options = SendOptions::default();
    for setter in setters {
        match setter {
            SendOption::Body(body) => options.body = Some(body),
            SendOption::Rate(rate_per_s) => options.rate_per_s = Some(rate_per_s),
            SendOption::Concurrency(count) => options.concurrency = Some(count),
            SendOption::Timeout(timeout) => options.timeout = Some(timeout),
            SendOption::Resend(count, pause) => {
                options.resends = Some(count);
                options.resend_pause = pause;
            }
            SendOption::Background => options.background = true,
        }
    }
    Ok(Step::Send(SendStep {
        count,
        service,
        path,
        through: names(&through),
        key,
        options,
    }))
}

#[derive(Clone)]
enum SendOption {
    Body(String),
    Rate(u64),
    Concurrency(usize),
    Timeout(Duration),
    Resend(usize, Option<Duration>),
    Background,
}

fn send_option(input: &mut &str) -> ModalResult<SendOption> {
    alt((
        after("body", quoted).map(SendOption::Body),
        after("rate", per_s).map(SendOption::Rate),
        after("concurrency", count).map(SendOption::Concurrency),
        after("timeout", duration).map(SendOption::Timeout),
        after("resend", (count, opt(after("every", duration))))
            .map(|(count, pause)| SendOption::Resend(count, pause)),
        after("in", keyword("background")).value(SendOption::Background),
    ))
    .parse_next(input)
}

fn within(input: &mut &str) -> ModalResult<Duration> {
    after("within", duration).parse_next(input)
}

fn wait(input: &mut &str) -> ModalResult<Step> {
    let keyed = opt(keyword("keyed")).map(|keyed| keyed.is_some());
    let answers = (
        after("from", name),
        after("path", name),
        after("through", name),
        within,
    );
    let what = alt((
        after("sends", within).map(|within| Step::WaitSends { within }),
        (terminated(keyed, keyword("answers")), cut_err(answers)).map(
            |(keyed, (service, path, through, within))| Step::WaitAnswers {
                keyed,
                service,
                path,
                through: names(&through),
                within,
            },
        ),
        (count, cut_err(after("runs", within)))
            .map(|(count, within)| Step::WaitRuns { count, within }),
    ));
    after(
        "for",
        described(
            what,
            "`sends`, `answers`, `keyed answers` or a number of runs",
        ),
    )
    .parse_next(input)
}

fn kill(input: &mut &str) -> ModalResult<Step> {
    let lifecycle = alt((
        after("vm", name).map(Lifecycle::KillVm),
        name.map(Lifecycle::Kill),
    ));
    lifecycle.map(Step::Lifecycle).parse_next(input)
}

fn restart(input: &mut &str) -> ModalResult<Step> {
    let lifecycle = alt((
        after("all", keyword("nodes")).value(Lifecycle::RestartAllNodes),
        name.map(Lifecycle::Restart),
    ));
    lifecycle.map(Step::Lifecycle).parse_next(input)
}

fn freeze(input: &mut &str) -> ModalResult<Step> {
    (name, after("for", duration))
        .map(|(name, time)| Step::Freeze { name, time })
        .parse_next(input)
}
