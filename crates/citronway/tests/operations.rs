//! Each reason that a caller can be refused for has its place in the operators' page.

use std::path::Path;

use citronway_core::gateway::admission::{RefusalReason, UnknownOutcomeReason};
use googletest::prelude::*;

#[gtest]
fn each_reason_is_explained() -> Result<()> {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let text = std::fs::read_to_string(page)?;
    let refused = RefusalReason::ALL.into_iter().map(RefusalReason::as_str);
    let in_doubt = UnknownOutcomeReason::ALL
        .into_iter()
        .map(UnknownOutcomeReason::as_str);
    for word in refused.chain(in_doubt) {
        let row = format!("| `{word}` |");
        expect_that!(text, contains_substring(row));
    }
    Ok(())
}
