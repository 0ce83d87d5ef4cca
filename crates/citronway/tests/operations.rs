//! Each reason that a caller can be refused for has its place in the operators' page.

use std::path::Path;

use citronway_core::gateway::admission::RefusalReason;
use googletest::prelude::*;

#[gtest]
fn each_reason_is_explained() -> Result<()> {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let text = std::fs::read_to_string(page)?;
    for reason in RefusalReason::ALL {
        let row = format!("| `{}` |", reason.word());
        expect_that!(text, contains_substring(row));
    }
    Ok(())
}
