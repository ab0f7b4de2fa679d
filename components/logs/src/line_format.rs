//! The text format of log lines.

use std::io;

/// Format of the time of a line.
const TIME_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.3f%:z";

/// Writes a record as one line: time, level, target, message and fields.
pub(crate) fn write_text(
    output: &mut dyn io::Write,
    now: &mut flexi_logger::DeferredNow,
    record: &log::Record<'_>,
) -> io::Result<()> {
    write!(
        output,
        "{} {:5} {}: {}",
        now.format(TIME_FORMAT),
        record.level(),
        record.target(),
        record.args()
    )?;
    let mut pairs = PairWriter { output };
    record
        .key_values()
        .visit(&mut pairs)
        .map_err(io::Error::other)
}

/// Writes the fields of a record behind its message.
struct PairWriter<'output> {
    output: &'output mut dyn io::Write,
}

impl<'pair> log::kv::VisitSource<'pair> for PairWriter<'_> {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'pair>,
        value: log::kv::Value<'pair>,
    ) -> Result<(), log::kv::Error> {
        write!(self.output, " {key}={value}")?;
        Ok(())
    }
}
