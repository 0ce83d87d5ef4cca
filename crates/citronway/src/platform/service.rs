//! What the entry needs of the platform, whatever protocol it speaks.

use bytes::Bytes;
use citronway_core::platform::{ConditionalPut, InstanceList, Row, RowKey, WriteOutcome};

use super::error::PlatformError;

/// The platform's table service, object store and instance list.
///
/// An answer may be wrong or missing; only a whole and well-formed one is
/// passed on.
pub trait Platform: Send + Sync + 'static {
    /// Reads all rows of a table.
    fn read_table(
        &self,
        table: &str,
    ) -> impl Future<Output = Result<Vec<Row>, PlatformError>> + Send;

    /// Reads one row; `None` if it does not exist.
    fn read_row(
        &self,
        at: &RowKey,
    ) -> impl Future<Output = Result<Option<Row>, PlatformError>> + Send;

    /// Writes all of `puts` or none. An outcome that is not known for certain
    /// is [`WriteOutcome::Unknown`].
    fn write(&self, puts: &[ConditionalPut]) -> impl Future<Output = WriteOutcome> + Send;

    /// Reads the instance list.
    fn instances(&self) -> impl Future<Output = Result<InstanceList, PlatformError>> + Send;

    /// Stores an object.
    fn put_object(
        &self,
        name: &str,
        content: Bytes,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Reads an object; `None` if it does not exist.
    fn get_object(
        &self,
        name: &str,
    ) -> impl Future<Output = Result<Option<Bytes>, PlatformError>> + Send;
}
