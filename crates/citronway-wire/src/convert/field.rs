//! Checked access to a single field.

use citronway_core::ids::RequestId;
use uuid::Uuid;

use crate::WireError;

/// A field with the place for error messages and its limit.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Field {
    place: &'static str,
    limit: usize,
}

impl Field {
    /// Names a field as `struct.field` and limits its length in bytes or entries.
    pub(crate) const fn new(place: &'static str, limit: usize) -> Self {
        Self { place, limit }
    }

    /// Text that must be set.
    pub(crate) fn text(
        self,
        present: bool,
        got: capnp::Result<capnp::text::Reader<'_>>,
    ) -> Result<&str, WireError> {
        let place = self.place;
        if !present {
            return Err(WireError::Missing { place });
        }
        let text = got.map_err(|source| WireError::Malformed { place, source })?;
        self.check_len(text.len())?;
        text.to_str()
            .map_err(|source| WireError::BadText { place, source })
    }

    /// Text that may be left out.
    pub(crate) fn optional_text(
        self,
        present: bool,
        got: capnp::Result<capnp::text::Reader<'_>>,
    ) -> Result<Option<&str>, WireError> {
        if !present {
            return Ok(None);
        }
        self.text(present, got).map(Some)
    }

    /// Bytes that must be set.
    pub(crate) fn bytes(
        self,
        present: bool,
        got: capnp::Result<&[u8]>,
    ) -> Result<&[u8], WireError> {
        let place = self.place;
        if !present {
            return Err(WireError::Missing { place });
        }
        let bytes = got.map_err(|source| WireError::Malformed { place, source })?;
        self.check_len(bytes.len())?;
        Ok(bytes)
    }

    /// A request id of 16 bytes.
    pub(crate) fn request_id(
        self,
        present: bool,
        got: capnp::Result<&[u8]>,
    ) -> Result<RequestId, WireError> {
        let place = self.place;
        let bytes = self.bytes(present, got)?;
        let Ok(uuid) = Uuid::from_slice(bytes) else {
            let found = bytes.len();
            return Err(WireError::BadUuid { place, found });
        };
        Ok(RequestId(uuid))
    }

    /// A struct or list that must be set.
    pub(crate) fn pointer<T>(self, present: bool, got: capnp::Result<T>) -> Result<T, WireError> {
        let place = self.place;
        if !present {
            return Err(WireError::Missing { place });
        }
        got.map_err(|source| WireError::Malformed { place, source })
    }

    /// A list that must be set, with its length in entries checked.
    pub(crate) fn list<T: capnp::traits::OwnedStruct>(
        self,
        present: bool,
        got: capnp::Result<capnp::struct_list::Reader<'_, T>>,
    ) -> Result<capnp::struct_list::Reader<'_, T>, WireError> {
        let list = self.pointer(present, got)?;
        self.check_len(list.len() as usize)?;
        Ok(list)
    }

    /// A value of an enum or the case of a union.
    pub(crate) fn known<T>(self, got: Result<T, capnp::NotInSchema>) -> Result<T, WireError> {
        let place = self.place;
        got.map_err(|capnp::NotInSchema(number)| WireError::UnknownValue { place, number })
    }

    fn check_len(self, found: usize) -> Result<(), WireError> {
        let Self { place, limit } = self;
        if found > limit {
            return Err(WireError::OverLimit {
                place,
                found,
                limit,
            });
        }
        Ok(())
    }
}
