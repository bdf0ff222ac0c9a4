//! Messages between one spender and one holder.

use std::time::Duration;

use hemlockfall_allowance::holder::Holder;
use hemlockfall_allowance::limits::Limit;
use hemlockfall_allowance::slots;
use hemlockfall_allowance::spender::Source;
use hemlockfall_allowance::spender::Spender;
use hemlockfall_allowance::spender::Take;

use crate::mesh::BOUND;

/// Guards against a reply that is not matched with its request, since it echoes the sending time in
/// whole microseconds: requests that came after it then waited for the reply timeout.
#[test]
fn tokens_are_requested_again_as_soon_as_a_reply_has_come() {
    let start = Duration::new(100, 999);
    let own = "n1".into();
    let limits = [(
        "account".into(),
        Limit {
            milli_per_s: 5_000,
            burst: 5,
        },
    )];
    let mut spender = Spender::new(1, BOUND, true, start);
    let mut holder = Holder::new(1, BOUND, true, start);
    spender.set_limits(&limits);
    holder.set_limits(&limits, start);
    spender.set_live(std::slice::from_ref(&own));
    let all = (0..slots::SLOTS).fold(0, |set, slot| set | slots::set_of(slot));
    holder.set_members(std::slice::from_ref(&own), all, start);
    let mut exchange = |spender: &mut Spender, now: Duration| {
        for (_, ask) in spender.poll(now) {
            let grant = holder.handle(&own, &ask, now);
            spender.handle(&own, grant, now);
        }
    };
    // The holder has authority once the spender has answered its first reply.
    exchange(&mut spender, start);
    exchange(&mut spender, start + Duration::from_millis(1));

    let first = spender.take(&limits[0].0, start + Duration::from_millis(2));
    exchange(&mut spender, start + Duration::from_millis(2));
    let first_after = spender.retake(&limits[0].0, start + Duration::from_millis(3));
    let second = spender.take(&limits[0].0, start + Duration::from_millis(4));
    exchange(&mut spender, start + Duration::from_millis(4));
    let second_after = spender.retake(&limits[0].0, start + Duration::from_millis(5));

    assert_eq!((first, second), (Take::Wait, Take::Wait));
    assert_eq!(first_after, Take::Spent(Source::Granted));
    assert_eq!(second_after, Take::Spent(Source::Granted));
}
