//! Parser of lines that start with `expect`.

use winnow::ModalResult;
use winnow::Parser;
use winnow::combinator::alt;
use winnow::combinator::terminated;

use crate::scenario::model::Counted;
use crate::scenario::model::Expectation;
use crate::scenario::model::MetricBound;
use crate::scenario::model::Scope;
use crate::scenario::model::Step;
use crate::scenario::parser::after;
use crate::scenario::parser::count;
use crate::scenario::parser::described;
use crate::scenario::parser::duration;
use crate::scenario::parser::keyword;
use crate::scenario::parser::name;
use crate::scenario::parser::number;
use crate::scenario::parser::quoted;
use crate::scenario::parser::within;

pub(super) fn expect(input: &mut &str) -> ModalResult<Step> {
    let revision = (number, after("on", scope), within).map(|(revision, scope, within)| {
        Expectation::Revision {
            revision,
            scope,
            within,
        }
    });
    let violation = alt((
        keyword("double runs").value(Expectation::NoDoubleRuns),
        keyword("wrong answers").value(Expectation::NoWrongAnswers),
        keyword("false not-run").value(Expectation::NoFalseNotRun),
        no_log,
        no_runs,
    ));
    let counted = alt((
        keyword("unknown").value(Counted::Unknown),
        keyword("not-run").value(Counted::NotRun),
        keyword("store-writes").value(Counted::StoreWrites),
        keyword("ended targets").value(Counted::EndedTargets),
    ));
    let answers = alt((
        keyword("answered").value(None),
        after("code", name).map(Some),
    ));
    let expectation = alt((
        after("revision", revision),
        after(
            "no",
            described(
                violation,
                "`double runs`, `wrong answers`, `false not-run`, `log` or `runs`",
            ),
        ),
        after(
            "at least",
            (count, described(answers, "`answered` or `code`")),
        )
        .map(|(count, code)| match code {
            Some(code) => Expectation::AtLeastCode(count, code),
            None => Expectation::AtLeastAnswered(count),
        }),
        after("metric", metric),
        after("log", log),
        after("running", scope).map(Expectation::Running),
        after("never below", never_below),
        after(
            "at most",
            (
                count,
                described(
                    counted,
                    "`unknown`, `not-run`, `store-writes` or `ended targets`",
                ),
            ),
        )
        .map(|(count, counted)| Expectation::AtMost(count, counted)),
    ));
    described(
        expectation,
        "`revision`, `no`, `at least`, `at most`, `metric`, `log`, `running` or `never below`",
    )
    .map(Step::Expect)
    .parse_next(input)
}

fn scope(input: &mut &str) -> ModalResult<Scope> {
    alt((keyword("all").value(Scope::All), name.map(Scope::Node))).parse_next(input)
}

fn metric(input: &mut &str) -> ModalResult<Expectation> {
    let bound = alt((
        after("at least", (number, within))
            .map(|(least, within)| MetricBound::AtLeast(least, within)),
        after("at most", number).map(MetricBound::AtMost),
    ));
    (
        name,
        after("on", scope),
        described(bound, "`at least` or `at most`"),
    )
        .map(|(name, scope, bound)| Expectation::Metric { name, scope, bound })
        .parse_next(input)
}

fn log(input: &mut &str) -> ModalResult<Expectation> {
    (quoted, after("on", name), within)
        .map(|(text, node, within)| Expectation::Log { text, node, within })
        .parse_next(input)
}

fn no_log(input: &mut &str) -> ModalResult<Expectation> {
    after("log", (quoted, after("on", name)))
        .map(|(text, node)| Expectation::NoLog { text, node })
        .parse_next(input)
}

fn no_runs(input: &mut &str) -> ModalResult<Expectation> {
    let later = terminated(duration, keyword("after leave"));
    after("runs", (after("at", name), after("from", later)))
        .map(|(target, after)| Expectation::NoRunsAfterLeave { target, after })
        .parse_next(input)
}

fn never_below(input: &mut &str) -> ModalResult<Expectation> {
    let revision = after("revision", number);
    (revision, after("on", name), after("for", duration))
        .map(|(revision, node, time)| Expectation::NeverBelow {
            revision,
            node,
            time,
        })
        .parse_next(input)
}
