#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace mangolink::test
{

/// Runs a named section of a test. Sections may be nested; the message of a
/// failure starts with their names.
template <class Body>
void section(const std::string& name, Body body)
{
    try
    {
        body();
    }
    catch (const CppUnit::Exception& failure)
    {
        CppUnit::Exception named(failure);
        named.setMessage(
            CppUnit::Message(name, failure.message().shortDescription() + " " +
                                       failure.message().details()));
        throw named;
    }
}

} // namespace mangolink::test
