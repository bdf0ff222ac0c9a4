//! Parser of lines that inject faults or send malformed bytes.

use hemlockfall_core::units::duration_ms;
use winnow::ModalResult;
use winnow::Parser;
use winnow::combinator::alt;
use winnow::combinator::delimited;
use winnow::combinator::opt;
use winnow::combinator::terminated;

use crate::scenario::model::BytesContent;
use crate::scenario::model::BytesStep;
use crate::scenario::model::Port;
use crate::scenario::model::Step;
use crate::scenario::parser::after;
use crate::scenario::parser::count;
use crate::scenario::parser::described;
use crate::scenario::parser::duration;
use crate::scenario::parser::keyword;
use crate::scenario::parser::name;
use crate::scenario::parser::number;
use crate::scenario::parser::quoted;
use crate::store::fault::FaultChange as StoreFault;
use crate::store::fault::OutageMode;
use crate::target::fault::FaultChange as TargetFault;

/// Parses `to NODE port PORT random N messages` or `to NODE port PORT text "TEXT"`.
pub(super) fn bytes(input: &mut &str) -> ModalResult<Step> {
    let port = alt((
        keyword("caller").value(Port::Caller),
        keyword("peer-tcp").value(Port::PeerTcp),
        keyword("peer-udp").value(Port::PeerUdp),
        keyword("operator").value(Port::Operator),
        keyword("local").value(Port::Local),
    ));
    let port = described(
        port,
        "`caller`, `peer-tcp`, `peer-udp`, `operator` or `local`",
    );
    let content = alt((
        after("random", terminated(count, keyword("messages"))).map(BytesContent::Random),
        after("text", quoted).map(BytesContent::Text),
    ));
    (
        after("to", name),
        after("port", port),
        described(content, "`random` or `text`"),
    )
        .map(|(node, port, content)| {
            Step::Bytes(BytesStep {
                node,
                port,
                content,
            })
        })
        .parse_next(input)
}

pub(super) fn store(input: &mut &str) -> ModalResult<Step> {
    let down = |how| {
        move |time| StoreFault {
            down: Some(how),
            for_ms: Some(duration_ms(time)),
            ..StoreFault::default()
        }
    };
    let lost = delimited(
        keyword("answer of next"),
        number.try_map(u32::try_from),
        alt((keyword("writes"), keyword("write"))),
    );
    let lost = (
        lost,
        opt(after("then", after("closed", after("for", duration)))),
    );
    let fault = alt((
        after("down", after("for", duration)).map(down(OutageMode::Refuse)),
        after("closed", after("for", duration)).map(down(OutageMode::Close)),
        after("slow", (duration, after("for", duration))).map(|(slow, time)| StoreFault {
            slow_ms: Some(duration_ms(slow)),
            for_ms: Some(duration_ms(time)),
            ..StoreFault::default()
        }),
        after("loses", lost).map(|(count, closed)| StoreFault {
            lose_write_answers: Some(count),
            close_after_lost_ms: closed.map(duration_ms),
            ..StoreFault::default()
        }),
        after("cuts", keyword("watches")).map(|()| StoreFault {
            cut_watches: true,
            ..StoreFault::default()
        }),
    ));
    described(fault, "`down`, `closed`, `slow`, `loses` or `cuts`")
        .map(Step::Store)
        .parse_next(input)
}

pub(super) fn target(input: &mut &str) -> ModalResult<Step> {
    let permille = described(
        number.verify_map(|value| u16::try_from(value).ok().filter(|value| *value <= 1000)),
        "a share from 0 to 1000 permille",
    );
    let kind = alt((
        after("fails", terminated(permille, keyword("permille"))).map(|fail_permille| {
            TargetFault {
                fail_permille,
                ..TargetFault::default()
            }
        }),
        after("slow", duration).map(|time| TargetFault {
            slow_ms: duration_ms(time),
            ..TargetFault::default()
        }),
        after("dies", keyword("in answers")).map(|()| TargetFault {
            dies_in_answer: true,
            ..TargetFault::default()
        }),
    ));
    let (name, mut fault, path_prefix, above_running, delay) = (
        name,
        described(kind, "`fails`, `slow` or `dies`"),
        opt(after("path", name)),
        opt(after("above", count)),
        opt(after("after", duration)),
    )
        .parse_next(input)?;
    fault.path_prefix = path_prefix;
    fault.above_running = above_running;
    fault.after_ms = delay.map_or(0, duration_ms);
    Ok(Step::Target { name, fault })
}
