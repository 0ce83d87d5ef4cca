//! Log line of a division of a hot range that has ended.

use citronway_core::gateway::leader::{DivisionProgress, DivisionStep};
use citronway_core::ids::ServiceName;

/// Logs the times of all steps, counted from the first requests in milliseconds; -1 for a step that
/// was not reached.
pub(super) fn log(service: &ServiceName, progress: &DivisionProgress) {
    let ms = |step| progress.ms_to(step).map_or(-1, u64::cast_signed);
    let division = &progress.division;
    log::info!(
        service = service.as_str(),
        endpoint:% = division.owner,
        pieces = division.moves.len(),
        per_s = division.per_s.round(),
        whole = progress.is_whole(),
        seen_ms = division.seen_ms,
        planned_ms = ms(DivisionStep::Planned),
        stored_ms = ms(DivisionStep::Stored),
        sealed_ms = ms(DivisionStep::Sealed),
        released_ms = ms(DivisionStep::Released),
        granted_ms = ms(DivisionStep::Granted),
        known_ms = ms(DivisionStep::Known);
        "division of a hot range ended"
    );
}
