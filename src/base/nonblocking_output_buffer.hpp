#pragma once

#include <cstdint>
#include <streambuf>
#include <string>

namespace mangolink
{

/// Takes the place of a stream's buffer and never blocks its writer.
///
/// Bytes wait in memory until flush() hands them to the descriptor without
/// blocking. A write that does not fit is dropped whole and counted. Used by
/// one thread.
class nonblocking_output_buffer final : public std::streambuf
{
public:
    /// Replaces the buffer of the stream until destroyed.
    nonblocking_output_buffer(std::ostream& stream, int descriptor,
                              std::size_t capacity);
    ~nonblocking_output_buffer() override;

    nonblocking_output_buffer(const nonblocking_output_buffer&) = delete;
    nonblocking_output_buffer&
    operator=(const nonblocking_output_buffer&) = delete;

    /// Writes what the descriptor takes now.
    void flush();

    /// Returns how many lines were dropped since the last call.
    std::uint64_t take_dropped_count();

protected:
    std::streamsize xsputn(const char* bytes, std::streamsize count) override;
    int_type overflow(int_type byte) override;

private:
    std::ostream& stream_;
    std::streambuf* previous_;
    int descriptor_;
    std::size_t capacity_;
    std::string buffered_;
    std::uint64_t dropped_ = 0;
    bool dropping_ = false; ///< until the end of a line that did not fit
};

} // namespace mangolink
