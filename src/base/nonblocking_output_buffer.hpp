#pragma once

#include <cstdint>
#include <streambuf>
#include <string>

namespace mangolink
{

/// Stream buffer that never blocks the writer.
///
/// Output is kept in memory until flush() writes it to the descriptor without
/// blocking. A line that does not fit is dropped completely and counted. Used
/// by one thread.
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

    /// Writes as much as the descriptor accepts without blocking.
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
