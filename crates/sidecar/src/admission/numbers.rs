//! Conversions to the numbers of load reports.

/// Returns a number, or the largest one of the type.
pub(super) fn saturate_to_u16(number: usize) -> u16 {
    u16::try_from(number).unwrap_or(u16::MAX)
}

/// Returns a number rounded to the nearest one of the type.
pub(super) fn round_to_u16(number: f64) -> u16 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the number is clamped to the range of the type"
    )]
    let rounded = number.clamp(0.0, f64::from(u16::MAX)).round() as u16;
    rounded
}
