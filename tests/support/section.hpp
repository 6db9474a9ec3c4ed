#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace mangolink::test
{

/// Runs a named part of a test. Parts nest; a failure tells the path of
/// names that led to it.
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
