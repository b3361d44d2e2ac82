//! Reading and writing of the kinds of field that many structs share.

use std::str::FromStr;

use capnp::{data, data_list, primitive_list, struct_list, text};
use dahliastile_core::id;

use super::Convert;
use crate::error::{Error, Result};

/// The number of a list's elements as the library counts them.
pub(super) fn count(len: usize) -> u32 {
    u32::try_from(len).expect("lists are far shorter than the encoding's limit of 2^29 elements")
}

/// Says that a field which can't be left out is absent.
pub(super) fn missing<T>(field: &'static str) -> Result<T> {
    Err(Error::Missing(field))
}

/// Reads a name.
pub(crate) fn name<T>(field: &'static str, from: capnp::Result<text::Reader<'_>>) -> Result<T>
where
    T: FromStr<Err = id::Malformed>,
{
    string(from)?
        .parse()
        .map_err(|cause| Error::Name { field, cause })
}

/// Reads a text.
pub(super) fn string(from: capnp::Result<text::Reader<'_>>) -> Result<&str> {
    from?
        .to_str()
        .map_err(|error| Error::Encoding(error.to_string()))
}

/// Reads bytes of fixed length.
pub(crate) fn array<const N: usize>(
    field: &'static str,
    from: capnp::Result<data::Reader<'_>>,
) -> Result<[u8; N]> {
    let bytes = from?;
    bytes.try_into().map_err(|_| Error::Length {
        field,
        found: bytes.len(),
    })
}

/// Writes a list of structs.
pub(super) fn write_list<T: Convert>(items: &[T], mut to: struct_list::Builder<'_, T::Schema>) {
    for (at, item) in (0..).zip(items) {
        item.write(to.reborrow().get(at));
    }
}

/// Reads a list of structs.
pub(super) fn read_list<T: Convert>(
    from: capnp::Result<struct_list::Reader<'_, T::Schema>>,
) -> Result<Vec<T>> {
    from?.iter().map(T::read).collect()
}

/// Writes a list of numbers.
pub(super) fn write_numbers(
    numbers: impl Iterator<Item = u64>,
    mut to: primitive_list::Builder<'_, u64>,
) {
    for (at, number) in (0..).zip(numbers) {
        to.set(at, number);
    }
}

/// Reads a list of numbers.
pub(super) fn read_numbers<T>(
    from: capnp::Result<primitive_list::Reader<'_, u64>>,
    wrap: fn(u64) -> T,
) -> Result<Vec<T>> {
    Ok(from?.iter().map(wrap).collect())
}

/// Writes a list of byte strings.
pub(super) fn write_blobs(blobs: &[Vec<u8>], mut to: data_list::Builder<'_>) {
    for (at, blob) in (0..).zip(blobs) {
        to.set(at, blob);
    }
}

/// Reads a list of byte strings.
pub(super) fn read_blobs(from: capnp::Result<data_list::Reader<'_>>) -> Result<Vec<Vec<u8>>> {
    from?.iter().map(|blob| Ok(blob?.to_vec())).collect()
}
