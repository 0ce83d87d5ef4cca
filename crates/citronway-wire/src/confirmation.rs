//! Confirmations of the configuration, as parts of datagrams.

use citronway_core::gateway::freshness::Confirmation;

use crate::report::row_version;
use crate::report_capnp::confirmation;

pub(crate) fn write(from: Confirmation, mut to: confirmation::Builder<'_>) {
    to.set_version(from.version.number);
    to.set_era(from.version.era.0);
    to.set_age_ms(from.age_ms);
}

pub(crate) fn read(
    from: Option<capnp::Result<confirmation::Reader<'_>>>,
) -> capnp::Result<Option<Confirmation>> {
    let from = from.transpose()?;
    Ok(from.map(|from| Confirmation {
        version: row_version(from.get_era(), from.get_version()),
        age_ms: from.get_age_ms(),
    }))
}
